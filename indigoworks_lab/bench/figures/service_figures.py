"""Figures of one service in one run."""

from indigoworks_lab.bench.figures.call_figures import CallFigures, call_figures
from indigoworks_lab.bench.figures.call_record import CallRecord
from indigoworks_lab.bench.figures.churn import Churn, churn
from indigoworks_lab.bench.figures.fairness import Fairness, fairness
from indigoworks_lab.bench.figures.imbalance import Imbalance, imbalance
from indigoworks_lab.bench.figures.model import Model
from indigoworks_lab.bench.figures.run_record import RunRecord
from indigoworks_lab.bench.installation.service_shape import ServiceShape


class ServiceFigures(Model):
    """Figures of one service.

    :ivar reads, writes: repeatable requests and others, of all groups together.
    :ivar groups: all requests, by group.
    :ivar not_served_key_s: key-seconds without a server that would run a request.
    :ivar not_served_s_per_key: the same over the number of keys, in seconds.
    """

    reads: CallFigures
    writes: CallFigures
    groups: dict[str, CallFigures]
    imbalance: Imbalance
    churn: Churn
    not_served_key_s: float
    not_served_s_per_key: float
    fairness: Fairness


def service_figures(
    record: RunRecord, shape: ServiceShape, measured: list[CallRecord]
) -> ServiceFigures:
    """Return the figures of one service.

    :param measured: the measured calls to all services.
    """
    calls = [each for each in measured if each.service == shape.name]
    groups = {
        group.name: call_figures(
            [each for each in calls if each.group == group.name], record.measured_s
        )
        for group in record.installation.groups
    }
    servers = record.registry.of_service(shape.name)
    joined = frozenset(each.identity.name for each in servers[shape.servers :])
    keys = record.installation.keys_per_service
    not_served_key_s = record.meter.not_served_key_s[shape.name]
    return ServiceFigures(
        reads=call_figures([each for each in calls if each.is_read], record.measured_s),
        writes=call_figures([each for each in calls if not each.is_read], record.measured_s),
        groups=groups,
        imbalance=imbalance(servers, joined, record.measured_from_s, record.measured_to_s),
        churn=churn(record.meter.moved_keys[shape.name], keys, record.measured_s),
        not_served_key_s=round(not_served_key_s, 3),
        not_served_s_per_key=round(not_served_key_s / keys, 6),
        fairness=_fairness(record, groups),
    )


def _fairness(record: RunRecord, groups: dict[str, CallFigures]) -> Fairness:
    return fairness(
        {name: each.offered for name, each in groups.items()},
        {name: round(each.goodput_per_s * record.measured_s) for name, each in groups.items()},
        {each.name: each.weight for each in record.installation.groups},
    )
