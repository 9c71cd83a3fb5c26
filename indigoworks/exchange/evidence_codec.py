"""Encodes and decodes shared evidence as protobuf messages."""

from indigoworks.exchange.exchange_pb2 import EvidenceMessage
from indigoworks.exchange.server_evidence import ServerEvidence
from indigoworks.exchange.shared_evidence import SharedEvidence

MS_PER_S = 1000.0


def to_message(entry: SharedEvidence) -> EvidenceMessage:
    """Encode an entry."""
    evidence = entry.evidence
    return EvidenceMessage(
        server=entry.server,
        teller=entry.teller,
        age_ms=round(max(0.0, entry.age_s) * MS_PER_S),
        broken=evidence.broken,
        error=evidence.error,
        invalid=evidence.invalid,
        good=evidence.good,
        fault_caller=evidence.fault_caller,
        good_caller=evidence.good_caller,
    )


def from_message(message: EvidenceMessage) -> SharedEvidence:
    """Decode an entry."""
    evidence = ServerEvidence(
        message.broken,
        message.error,
        message.invalid,
        message.good,
        message.fault_caller,
        message.good_caller,
    )
    return SharedEvidence(message.server, message.teller, message.age_ms / MS_PER_S, evidence)
