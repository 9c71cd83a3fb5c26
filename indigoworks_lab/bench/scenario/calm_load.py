"""The load that every scenario has."""

from indigoworks_lab.bench.installation.installation import Installation
from indigoworks_lab.bench.scenario.load_stream import LoadStream
from indigoworks_lab.bench.scenario.scenario import END_S

CALM_LOAD = 0.5
"""Share of each service's capacity that the calm load asks for."""


def calm_streams(installation: Installation) -> list[LoadStream]:
    """Return one stream for each service and group; groups ask in proportion to their weights."""
    return [
        LoadStream(
            name=f"calm:{service.name}:{group.name}",
            service=service.name,
            group=group.name,
            rate_per_s=service.capacity_per_s * CALM_LOAD * installation.share_of(group.name),
            from_s=0.0,
            to_s=END_S,
        )
        for service in installation.services
        for group in installation.groups
    ]
