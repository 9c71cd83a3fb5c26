"""Reports as datagrams."""

from google.protobuf.message import DecodeError

from indigoworks.exchange.exchange_pb2 import PeerReportMessage
from indigoworks.exchange.key_sample import KeySample
from indigoworks.exchange.leader_beat import LeaderBeat, PendingRange
from indigoworks.exchange.peer_report import PeerReport
from indigoworks.exchange.server_load import ServerLoad

MS_PER_S = 1000.0
MAX_AGE_MS = 2**32 - 1


def encode_report(report: PeerReport) -> bytes:
    """Return the datagram of a report."""
    message = PeerReportMessage(
        node=report.node,
        boot=report.boot,
        sequence=report.sequence,
        epoch=report.epoch,
        retry_count=report.retry_count,
        configuration_version=report.configuration_version,
        group_version=report.group_version,
    )
    if report.beat_age_s != float("inf"):
        message.has_heard_beat = True
        message.beat_age_ms = _milliseconds(report.beat_age_s)
    if report.leader is not None:
        _encode_beat(report.leader, message)
    for load in report.loads:
        message.loads.add(
            server=load.server,
            in_flight=load.in_flight,
            service_ms=_milliseconds(load.service_s),
        )
    for sample in report.samples:
        message.samples.add(service=sample.service, keys=sample.keys, total=sample.total)
    return message.SerializeToString()


def decode_report(datagram: bytes) -> PeerReport | None:
    """Return the report of a datagram; None where it is not one."""
    message = PeerReportMessage()
    try:
        message.ParseFromString(datagram)
    except DecodeError:
        return None
    if not message.node:
        return None
    return PeerReport(
        node=message.node,
        boot=message.boot,
        sequence=message.sequence,
        epoch=message.epoch,
        beat_age_s=message.beat_age_ms / MS_PER_S if message.has_heard_beat else float("inf"),
        leader=_decode_beat(message) if message.HasField("leader") else None,
        loads=tuple(
            ServerLoad(each.server, each.in_flight, each.service_ms / MS_PER_S)
            for each in message.loads
        ),
        samples=tuple(
            KeySample(each.service, tuple(each.keys), each.total) for each in message.samples
        ),
        retry_count=message.retry_count,
        configuration_version=message.configuration_version,
        group_version=message.group_version,
    )


def _encode_beat(beat: LeaderBeat, message: PeerReportMessage) -> None:
    message.leader.epoch = beat.epoch
    message.leader.proof_age_ms = _milliseconds(beat.proof_age_s)
    message.leader.hold_ms = _milliseconds(beat.hold_s)
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
    )


def _milliseconds(duration_s: float) -> int:
    return min(MAX_AGE_MS, max(0, round(min(duration_s, MAX_AGE_MS) * MS_PER_S)))
