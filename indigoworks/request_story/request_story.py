"""Selects and renders the log lines on a request and on the state of its gateways meanwhile."""

from collections.abc import Iterable, Sequence

from indigoworks.request_story.log_line import LogLine

CONTEXT_BEFORE_S = 12.0
"""Time before the request's first line from which context is included: longer than the default
maximum hold of 10 s."""

CONTEXT_AFTER_S = 1.0

REQUEST_PREFIX = "request:"
STATE_PREFIXES = (
    "leader:",
    "store:",
    "feed:",
    "relay:",
    "configuration:",
    "process:",
    "hold:",
    "log:",
)
RANGE_PREFIX = "range:"

NO_SERVER: frozenset[object] = frozenset({None, ""})


class RequestStory:
    """Selects the lines of one request and those that give its context.

    These are the lines with its id from all processes; lines on the servers that it was sent to or
    waited for, and on the range of its key; and, from the gateways that handled it, the lines
    on leader, store, feeds, relays, configuration, process, holds and the log itself. Context is
    limited to the time from CONTEXT_BEFORE_S before the request's first line to CONTEXT_AFTER_S
    after its last one.
    """

    def __init__(self, request_id: str, lines: Iterable[LogLine]) -> None:
        self._lines = sorted(lines, key=lambda each: each.at_s)
        self._own_lines = [
            each for each in self._lines if each.fields.get("request_id") == request_id
        ]

    def lines(self) -> Sequence[LogLine]:
        """Return the lines ordered by time; none if the id is unknown."""
        if not self._own_lines:
            return ()
        first_s, last_s = (
            self._own_lines[0].at_s - CONTEXT_BEFORE_S,
            self._own_lines[-1].at_s + CONTEXT_AFTER_S,
        )
        nearby = [each for each in self._lines if first_s <= each.at_s <= last_s]
        return [each for each in nearby if each in self._own_lines or self._is_context(each)]

    def _is_context(self, line: LogLine) -> bool:
        if line.message_type.startswith(REQUEST_PREFIX):
            return False
        if line.message_type.startswith(STATE_PREFIXES):
            return line.process in {each.process for each in self._own_lines}
        if self._covers_key(line):
            return True
        named = {line.fields.get(name) for name in ("server", "to", "former")}
        return bool(named & self._servers())

    def _covers_key(self, line: LogLine) -> bool:
        if not line.message_type.startswith(RANGE_PREFIX):
            return False
        first, last = line.fields.get("first"), line.fields.get("last")
        if not isinstance(first, int) or not isinstance(last, int):
            return False
        for own in self._own_lines:
            key = own.fields.get("key")
            same_service = own.fields.get("service") == line.fields.get("service")
            if same_service and isinstance(key, int) and first <= key <= last:
                return True
        return False

    def _servers(self) -> set[object]:
        servers: set[object] = set()
        for line in self._own_lines:
            tried = line.fields.get("servers")
            if isinstance(tried, list):
                servers.update(tried)
            # A refusal names the server that the request waited for and was never sent to.
            servers.add(line.fields.get("server"))
        return servers - NO_SERVER


def render(lines: Sequence[LogLine]) -> str:
    """Return the story as text: seconds since the first line, process, type and fields."""
    if not lines:
        return "No line names this request. Give the logs of all gateways, and check the id.\n"
    start_s = lines[0].at_s
    return "".join(_row(each, start_s) for each in lines)


def _row(line: LogLine, start_s: float) -> str:
    fields = " ".join(f"{name}={_text(value)}" for name, value in line.fields.items())
    return f"{line.at_s - start_s:+9.3f} s  {line.process}  {line.message_type}  {fields}\n"


def _text(value: object) -> str:
    if isinstance(value, list):
        return ",".join(map(str, value)) or "-"
    return "-" if value is None else str(value)
