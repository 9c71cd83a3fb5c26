"""Log lines of decisions on failing servers."""

from eliot import log_message

from indigoworks.exchange.server_evidence import ServerEvidence
from indigoworks.outliers.failure_rule import failure_score
from indigoworks.servers.server_record import ServerRecord


def log_decision(
    message_type: str,
    server: ServerRecord,
    evidence: ServerEvidence,
    ejected: int,
    servers: int,
) -> None:
    """Write a decision with the evidence behind it.

    :param ejected: ejected servers of the service after the decision, of `servers`.
    """
    log_message(
        message_type=message_type,
        level="WARNING",
        server=server.server_id,
        service=server.service,
        score=round(failure_score(evidence), 1),
        broken=evidence.broken,
        errors=evidence.error,
        invalid=evidence.invalid,
        good=evidence.good,
        ejected=ejected,
        servers=servers,
    )
