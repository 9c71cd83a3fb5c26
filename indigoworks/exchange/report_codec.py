"""Encodes and decodes reports as datagrams."""

import math
from collections.abc import Iterable
from dataclasses import replace

from google.protobuf.message import DecodeError

from indigoworks.exchange.evidence_codec import from_message as evidence_of
from indigoworks.exchange.evidence_codec import to_message as evidence_message
from indigoworks.exchange.exchange_pb2 import PeerReportMessage
from indigoworks.exchange.key_sample import KeySample
from indigoworks.exchange.leader_beat import LeaderBeat, PendingRange
from indigoworks.exchange.notice_codec import from_message as notice_of
from indigoworks.exchange.notice_codec import to_message as notice_message
from indigoworks.exchange.peer_report import AgedReport, PeerReport
from indigoworks.exchange.server_load import ServerLoad
from indigoworks.exchange.suspect_codec import from_message, to_message
from indigoworks.rowstore.store_version import StoreVersion

MS_PER_S = 1000.0
MAX_AGE_MS = 2**32 - 1


def encode_report(report: PeerReport) -> bytes:
    """Encode a report as a datagram."""
    message = PeerReportMessage(
        node=report.node,
        boot=report.boot,
        sequence=report.sequence,
        epoch=report.epoch,
        retry_count=report.retry_count,
        configuration_version=report.configuration_version,
        group_version=report.group_version.counter,
        group_era=report.group_version.era,
        operator_row_version=report.operator_row_version.counter,
        operator_row_era=report.operator_row_version.era,
        hub=report.hub,
        is_joining=report.is_joining,
        members=[member for member, _ in report.members],
        member_sequences=[sequence for _, sequence in report.members],
        suspects=[to_message(each) for each in report.suspects],
        notices=[notice_message(each) for each in report.notices],
        evidence=[evidence_message(each) for each in report.evidence],
        load_servers=[each.server for each in report.loads],
        load_in_flight=[each.in_flight for each in report.loads],
        load_service_ms=[_milliseconds(each.service_s) for each in report.loads],
    )
    if report.beat_age_s != float("inf"):
        message.has_heard_beat = True
        message.beat_age_ms = _milliseconds(report.beat_age_s)
    if report.leader is not None:
        _encode_beat(report.leader, message)
    for sample in report.samples:
        message.samples.add(service=sample.service, keys=sample.keys, total=sample.total)
    return message.SerializeToString()


def encode_forwarded(reports: Iterable[AgedReport]) -> bytes:
    """Encode reports of other gateways, to be appended to a datagram that forwards them."""
    message = PeerReportMessage()
    for each in reports:
        # A forwarded beat would seem younger than it is; a leader sends to each peer itself.
        # A hub's suspect requests are in the forwarding hub's own report as well.
        report = encode_report(replace(each.report, leader=None, samples=(), suspects=()))
        added = message.forwarded.add(age_ms=_milliseconds(each.age_s))
        added.report.ParseFromString(report)
    return message.SerializeToString()


def decode_report(datagram: bytes) -> PeerReport | None:
    """Decode the report of a datagram, without forwarded ones; None if it is malformed."""
    reports = decode_datagram(datagram)
    return reports[0].report if reports else None


def decode_datagram(datagram: bytes) -> list[AgedReport]:
    """Decode the report of a datagram and those forwarded with it; empty if it is malformed."""
    message = PeerReportMessage()
    try:
        message.ParseFromString(datagram)
    except DecodeError:
        return []
    report = _decode_report(message)
    if report is None:
        return []
    reports = [AgedReport(report, 0.0)]
    for each in message.forwarded:
        forwarded = _decode_report(each.report)
        if forwarded is not None:
            reports.append(AgedReport(forwarded, each.age_ms / MS_PER_S))
    return reports


def _decode_report(message: PeerReportMessage) -> PeerReport | None:
    if not message.node or not _has_whole_columns(message):
        return None
    return PeerReport(
        node=message.node,
        boot=message.boot,
        sequence=message.sequence,
        epoch=message.epoch,
        beat_age_s=message.beat_age_ms / MS_PER_S if message.has_heard_beat else float("inf"),
        leader=_decode_beat(message) if message.HasField("leader") else None,
        loads=tuple(
            ServerLoad(server, in_flight, service_ms / MS_PER_S)
            for server, in_flight, service_ms in zip(
                message.load_servers, message.load_in_flight, message.load_service_ms, strict=True
            )
        ),
        samples=tuple(
            KeySample(each.service, tuple(each.keys), each.total) for each in message.samples
        ),
        retry_count=message.retry_count,
        configuration_version=message.configuration_version,
        group_version=StoreVersion(message.group_era, message.group_version),
        operator_row_version=StoreVersion(message.operator_row_era, message.operator_row_version),
        hub=message.hub,
        is_joining=message.is_joining,
        suspects=tuple(from_message(each) for each in message.suspects),
        notices=tuple(notice_of(each) for each in message.notices),
        evidence=tuple(evidence_of(each) for each in message.evidence),
        members=tuple(zip(message.members, message.member_sequences, strict=True)),
    )


def _has_whole_columns(message: PeerReportMessage) -> bool:
    loads = len(message.load_servers)
    are_loads_whole = loads == len(message.load_in_flight) == len(message.load_service_ms)
    return are_loads_whole and len(message.members) == len(message.member_sequences)


def _encode_beat(beat: LeaderBeat, message: PeerReportMessage) -> None:
    message.leader.epoch = beat.epoch
    message.leader.proof_age_ms = _milliseconds_up(beat.proof_age_s)
    message.leader.hold_ms = _milliseconds_up(beat.hold_s)
    message.leader.silent_servers.extend(beat.silent_servers)
    message.leader.earlier_hold_ms = _milliseconds_up(beat.earlier_hold_s)
    for each in beat.pending:
        message.leader.pending.add(
            service=each.service, first=each.first, last=each.last, token=each.token
        )


def _decode_beat(message: PeerReportMessage) -> LeaderBeat:
    beat = message.leader
    return LeaderBeat(
        epoch=beat.epoch,
        proof_age_s=beat.proof_age_ms / MS_PER_S,
        hold_s=beat.hold_ms / MS_PER_S,
        pending=tuple(
            PendingRange(each.service, each.first, each.last, each.token) for each in beat.pending
        ),
        earlier_hold_s=beat.earlier_hold_ms / MS_PER_S,
        silent_servers=tuple(beat.silent_servers),
    )


def _milliseconds(duration_s: float) -> int:
    return min(MAX_AGE_MS, max(0, round(min(duration_s, MAX_AGE_MS) * MS_PER_S)))


def _milliseconds_up(duration_s: float) -> int:
    """Return a duration in milliseconds, rounded up: others wait for this time to pass."""
    return min(MAX_AGE_MS, max(0, math.ceil(min(duration_s, MAX_AGE_MS) * MS_PER_S)))
