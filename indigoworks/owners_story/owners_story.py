"""Selects and renders the log lines on the owners of a key, with doubts about each change."""

from collections.abc import Iterable, Sequence

from indigoworks.owners_story.line_doubts import RANGE_PASSED, doubts_of
from indigoworks.request_story.log_line import LogLine

KEY_PREFIXES = ("range:", "order:")
LEADER_PREFIX = "leader:"
SERVER_REPLACED = "server:replaced"


class OwnersStory:
    """Selects the lines on the owners of a key.

    These are the lines on ranges with the key and on orders for them, on the servers that these
    lines name (replaced, or answering again), and on all leaders.

    :param service: name of the service.
    :param key: number of the key, as `key` in the log lines on requests.
    """

    def __init__(self, service: str, key: int, lines: Iterable[LogLine]) -> None:
        self._service = service
        self._key = key
        self._lines = sorted(lines, key=lambda each: each.at_s)
        self._key_lines = [each for each in self._lines if self._covers_key(each)]

    def lines(self) -> Sequence[LogLine]:
        """Return the lines ordered by time; none if no line concerns the key."""
        if not self._key_lines:
            return ()
        servers = self._servers()
        return [
            each
            for each in self._lines
            if self._covers_key(each)
            or each.message_type.startswith(LEADER_PREFIX)
            or (_is_on_server(each) and each.fields.get("server") in servers)
        ]

    def _covers_key(self, line: LogLine) -> bool:
        if not line.message_type.startswith(KEY_PREFIXES):
            return False
        first, last = line.fields.get("first"), line.fields.get("last")
        if not isinstance(first, int) or not isinstance(last, int):
            return False
        return line.fields.get("service") == self._service and first <= self._key <= last

    def _servers(self) -> set[object]:
        named = {each.fields.get(name) for each in self._key_lines for name in ("server", "former")}
        return named - {None}


def render(lines: Sequence[LogLine]) -> str:
    """Return the story as text: each line, followed by the doubts about it."""
    if not lines:
        return (
            "No log line concerns this key. Give the logs of all gateways, and check the service "
            "and the key's number.\n"
        )
    start_s = lines[0].at_s
    transfers = [each for each in lines if each.message_type == RANGE_PASSED]
    doubted = sum(1 for each in transfers if doubts_of(each))
    rows = [_row(each, each.at_s - start_s) for each in lines]
    return "".join(rows) + f"{len(transfers)} ownership transfers, {doubted} in doubt\n"


def _is_on_server(line: LogLine) -> bool:
    """Return whether a line concerns a server without naming keys."""
    return line.message_type in (SERVER_REPLACED, "order:answered_again")


def _row(line: LogLine, after_s: float) -> str:
    fields = " ".join(
        f"{name}={'-' if value is None else value}" for name, value in line.fields.items()
    )
    doubts = "".join(f"     !!  {each.kind.value}: {each.detail}\n" for each in doubts_of(line))
    return f"{after_s:+9.3f} s  {line.process}  {line.message_type}  {fields}\n{doubts}"
