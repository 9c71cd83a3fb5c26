"""All figures of one run."""

from indigoworks_lab.bench.figures.call_figures import CallFigures, call_figures
from indigoworks_lab.bench.figures.model import Model
from indigoworks_lab.bench.figures.run_record import RunRecord
from indigoworks_lab.bench.figures.service_figures import ServiceFigures, service_figures
from indigoworks_lab.bench.figures.wasted_work import WastedWork, wasted_work


class RunFigures(Model):
    """Figures of one run.

    :ivar kept_goodput: only where there is a calm run of the same seed to compare with: goodput of
        each group that asked for no more than there, over its goodput there.
    """

    installation: str
    scenario: str
    variant: str
    seed: int
    measured_s: float
    all_calls: CallFigures
    services: dict[str, ServiceFigures]
    wasted_work: WastedWork
    kept_goodput: dict[str, dict[str, float]]


def run_figures(record: RunRecord) -> RunFigures:
    """Return the figures of a run."""
    measured = record.measured_calls()
    services = {
        shape.name: service_figures(record, shape, measured)
        for shape in record.installation.services
    }
    return RunFigures(
        installation=record.installation.name,
        scenario=record.scenario,
        variant=record.variant.value,
        seed=record.seed,
        measured_s=record.measured_s,
        all_calls=call_figures(measured, record.measured_s),
        services=services,
        wasted_work=wasted_work(measured, record.registry),
        kept_goodput={},
    )


def with_kept_goodput(figures: RunFigures, calm: RunFigures) -> RunFigures:
    """Return `figures` with the goodput that well-behaved groups kept, by service and group."""
    kept: dict[str, dict[str, float]] = {}
    for service, each in figures.services.items():
        before = calm.services[service].groups
        kept[service] = {
            group: round(now.goodput_per_s / before[group].goodput_per_s, 6)
            for group, now in each.groups.items()
            if now.offered <= before[group].offered and before[group].goodput_per_s > 0
        }
    return figures.model_copy(update={"kept_goodput": kept})
