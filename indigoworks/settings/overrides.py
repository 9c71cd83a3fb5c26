"""Settings that any level of the tree may set."""

from indigoworks.settings.field_types import (
    BodyBytes,
    Concurrency,
    Hop,
    Methods,
    PathPrefixes,
    QueueLength,
    Ratio,
    RetryLimit,
    TimeoutS,
    Weight,
)
from indigoworks.settings.placement_overrides import PlacementOverrides
from indigoworks.settings.settings_model import SettingsModel


class Overrides(SettingsModel):
    """What one level sets; a field left out (or null) is inherited from the level above.

    :ivar weight: share of a group in the capacity of the servers, relative to the other groups.
    :ivar request_timeout_s: longest time a request may take; also the default of callers.
    :ivar max_body_bytes: largest body of a request.
    :ivar max_queue_length: requests of one group that may wait for one server.
    :ivar max_queue_delay_s: longest time a request may wait in a queue before it is refused.
    :ivar max_concurrency_per_group: requests of one group in progress at one server; 0: no limit.
    :ivar retry_limit: retries of one repeatable request.
    :ivar retry_budget_ratio: retries per first attempt that a router may make, from 0 to 1.
    :ivar repeatable_methods: methods whose requests may run more than once.
    :ivar repeatable_paths: prefixes of the path after the key whose requests may run more than
        once, whatever the method.
    :ivar placement: placement of the service's ranges.
    :ivar hop: route of a request: through the owner's dispatcher, or directly to the owner.
    """

    weight: Weight | None = None
    request_timeout_s: TimeoutS | None = None
    max_body_bytes: BodyBytes | None = None
    max_queue_length: QueueLength | None = None
    max_queue_delay_s: TimeoutS | None = None
    max_concurrency_per_group: Concurrency | None = None
    retry_limit: RetryLimit | None = None
    retry_budget_ratio: Ratio | None = None
    repeatable_methods: Methods | None = None
    repeatable_paths: PathPrefixes | None = None
    placement: PlacementOverrides | None = None
    hop: Hop | None = None
