"""How the owner of a key changed, and what speaks against each change."""

from collections.abc import Iterable, Sequence

from indigoworks.owners_story.line_doubts import PASSED, doubts_of
from indigoworks.request_story.log_line import LogLine

KEY_PREFIXES = ("range:", "order:")
LEADER_PREFIX = "leader:"
REPLACED = "server:replaced"


class OwnersStory:
    """Selects the lines on who held a key: its ranges, orders on them, and who led.

    :param service: name of the service.
    :param key: number of the key, as `key` in the lines on requests names it.
    """

    def __init__(self, service: str, key: int, lines: Iterable[LogLine]) -> None:
        self._service = service
        self._key = key
        self._all = sorted(lines, key=lambda each: each.at_s)
        self._own = [each for each in self._all if self._holds_key(each)]

    def lines(self) -> Sequence[LogLine]:
        """Return the lines in the order of their times; none where no line is on the key."""
        if not self._own:
            return ()
        servers = self._servers()
        return [
            each
            for each in self._all
            if self._holds_key(each)
            or each.message_type.startswith(LEADER_PREFIX)
            or (_is_on_server(each) and each.fields.get("server") in servers)
        ]

    def _holds_key(self, line: LogLine) -> bool:
        if not line.message_type.startswith(KEY_PREFIXES):
            return False
        first, last = line.fields.get("first"), line.fields.get("last")
        if not isinstance(first, int) or not isinstance(last, int):
            return False
        return line.fields.get("service") == self._service and first <= self._key <= last

    def _servers(self) -> set[object]:
        named = {each.fields.get(name) for each in self._own for name in ("server", "former")}
        return named - {None}


def render(lines: Sequence[LogLine]) -> str:
    """Return the story as text: each line, and below it what speaks against it."""
    if not lines:
        return (
            "No line is on this key. Give the logs of all gateways, the service and the number.\n"
        )
    start_s = lines[0].at_s
    passings = [each for each in lines if each.message_type == PASSED]
    doubted = sum(1 for each in passings if doubts_of(each))
    rows = [_row(each, each.at_s - start_s) for each in lines]
    return "".join(rows) + f"{len(passings)} passings, {doubted} in doubt\n"


def _is_on_server(line: LogLine) -> bool:
    """Tell whether a line names a server and no keys."""
    return line.message_type in (REPLACED, "order:answered_again")


def _row(line: LogLine, after_s: float) -> str:
    fields = " ".join(
        f"{name}={'-' if value is None else value}" for name, value in line.fields.items()
    )
    doubts = "".join(f"     !!  {each.kind.value}: {each.detail}\n" for each in doubts_of(line))
    return f"{after_s:+9.3f} s  {line.process}  {line.message_type}  {fields}\n{doubts}"
