"""Log messages about relays."""

from eliot import log_message


def log_relay_used(node: str) -> None:
    """Log which relay changed rows come through from now on; an empty node: from the store."""
    log_message(message_type="relay:used", relay=node)


def log_relay_failed(node: str, reason: str, proof_age_s: float) -> None:
    """Log that a relay gave no usable response."""
    log_message(
        message_type="relay:failed",
        level="WARNING",
        relay=node,
        reason=reason,
        proof_age_s=round(min(proof_age_s, 1e6), 3),
    )
