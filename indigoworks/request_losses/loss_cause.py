"""Cause of the loss of a request, from its final log line."""

from indigoworks.request_story.log_line import LogLine

MIN_WAIT_SHARE = 0.5
"""A late response is attributed to the wait in the gateway if that took more than this share of the
elapsed time, so that the larger part is the cause. Used for reading logs only."""

MIN_ERROR_STATUS = 500
"""Lowest status that reports a server error."""

LATE_LEVEL = "WARNING"
"""Level at which gateways log responses that are late or report a server error."""


def cause_of(line: LogLine) -> str | None:
    """Return the cause of the loss that a line records, or None if it records none.

    Each request ends with one line, so that it is counted once.
    """
    match line.message_type:
        case "request:refused":
            return f"refused, {line.fields.get('reason')}"
        case "request:lost":
            return f"lost, {line.fields.get('detail')}"
        case "request:cancelled":
            return "caller left"
        case "request:answered":
            return _cause_of_response(line)
    return None


def _cause_of_response(line: LogLine) -> str | None:
    if line.fields.get("level") != LATE_LEVEL:
        return None
    status = _number(line, "status")
    if status >= MIN_ERROR_STATUS:
        return f"answered, status {status:.0f}"
    servers = line.fields.get("servers")
    if isinstance(servers, list) and len(servers) > 1:
        return "late, after a repeat"
    is_wait = _number(line, "waited_s") > MIN_WAIT_SHARE * _number(line, "elapsed_s")
    return "late, waited for a place" if is_wait else "late, at its server"


def _number(line: LogLine, name: str) -> float:
    """Return a number from a line; 0 if it is missing, as in lines of another release."""
    value = line.fields.get(name)
    return float(value) if isinstance(value, int | float) else 0.0
