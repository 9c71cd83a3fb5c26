"""Why a request earned its caller less than a timely answer."""

from indigoworks.request_story.log_line import LogLine

WAIT_SHARE = 0.5
"""A late answer is put down to the wait here if that took more than this share of its time:
the larger part names the cause. For reading logs only; nothing is decided by it."""

FAILED_STATUS = 500
"""Statuses from this one on tell of a fault at the server."""

LATE_LEVEL = "WARNING"
"""Gateways write answers that came late, or tell of a fault, with this level."""


def cause_of(line: LogLine) -> str | None:
    """Return the cause that a line tells of; None: it tells of no loss.

    One line ends a request, so that each is counted once.
    """
    match line.message_type:
        case "request:refused":
            return f"refused, {line.fields.get('reason')}"
        case "request:lost":
            return f"lost, {line.fields.get('detail')}"
        case "request:cancelled":
            return "caller left"
        case "request:answered":
            return _cause_of_answer(line)
    return None


def _cause_of_answer(line: LogLine) -> str | None:
    if line.fields.get("level") != LATE_LEVEL:
        return None
    status = _number(line, "status")
    if status >= FAILED_STATUS:
        return f"answered, status {status:.0f}"
    servers = line.fields.get("servers")
    if isinstance(servers, list) and len(servers) > 1:
        return "late, after a repeat"
    is_wait = _number(line, "waited_s") > WAIT_SHARE * _number(line, "elapsed_s")
    return "late, waited for a place" if is_wait else "late, at its server"


def _number(line: LogLine, name: str) -> float:
    """Return a number of a line; 0 where a gateway of another release does not write it."""
    value = line.fields.get(name)
    return float(value) if isinstance(value, int | float) else 0.0
