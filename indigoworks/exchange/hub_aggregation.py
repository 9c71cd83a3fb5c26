"""Aggregates the reports of a hub's members into one."""

from collections.abc import Iterable, Sequence
from dataclasses import replace

from indigoworks.exchange.peer_report import AgedReport, PeerReport, node_checksum
from indigoworks.exchange.server_load import ServerLoad
from indigoworks.exchange.shared_evidence import SharedEvidence, merge_shared
from indigoworks.exchange.shared_notice import SharedNotice, merge_notices


def aggregate_reports(own: PeerReport, members: Sequence[AgedReport]) -> PeerReport:
    """Return the report of a hub in place of its members' reports.

    Loads are added up. The age of the heartbeat is the least of all, and each version the newest:
    each is true of the hub or of a member, which may reach what the hub cannot.
    """
    reports = [own, *(each.report for each in members)]
    beat_ages_s = [own.beat_age_s]
    for each in members:
        if each.report.epoch == own.epoch:
            beat_ages_s.append(each.report.beat_age_s + each.age_s)
    return replace(
        own,
        beat_age_s=min(beat_ages_s),
        loads=_sum_loads(each for each in reports if not each.is_joining),
        configuration_version=max(each.configuration_version for each in reports),
        group_version=max(each.group_version for each in reports),
        operator_row_version=max(each.operator_row_version for each in reports),
        notices=merge_notices((*own.notices, *_aged_notices(members))),
        evidence=merge_shared((*own.evidence, *_aged_evidence(members))),
        members=tuple((node_checksum(each.report.node), each.report.sequence) for each in members),
    )


def _aged_evidence(members: Sequence[AgedReport]) -> Iterable[SharedEvidence]:
    return (entry.aged(each.age_s) for each in members for entry in each.report.evidence)


def _aged_notices(members: Sequence[AgedReport]) -> Iterable[SharedNotice]:
    return (notice.aged(each.age_s) for each in members for notice in each.report.notices)


def _sum_loads(reports: Iterable[PeerReport]) -> tuple[ServerLoad, ...]:
    """Return each server's total of requests in flight and the mean of its service times."""
    in_flight: dict[int, int] = {}
    times_s: dict[int, list[float]] = {}
    for report in reports:
        for load in report.loads:
            in_flight[load.server] = in_flight.get(load.server, 0) + load.in_flight
            if load.service_s > 0:
                times_s.setdefault(load.server, []).append(load.service_s)
    return tuple(
        ServerLoad(server, count, _mean(times_s.get(server))) for server, count in in_flight.items()
    )


def _mean(values: list[float] | None) -> float:
    return sum(values) / len(values) if values else 0.0
