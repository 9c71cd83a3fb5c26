"""Fencing tokens of a key only grow."""

from collections.abc import Sequence

from indigoworks_lab.checkers.history.history import History
from indigoworks_lab.checkers.violation import Violation

NAME = "tokens grow"


def check_tokens_grow(history: History) -> Sequence[Violation]:
    """Check, per key and in the order of the starts, that no execution has an older token."""
    newest: dict[tuple[str, bytes], int] = {}
    found: list[Violation] = []
    for execution in sorted(history.executions, key=lambda each: each.started_s):
        place = (execution.service, execution.key)
        earlier = newest.get(place, 0)
        if execution.token < earlier:
            found.append(
                Violation(
                    NAME,
                    execution.started_s,
                    f"{execution.request_id} on {execution.key!r} began at {execution.server} "
                    f"under token {execution.token:#x} after token {earlier:#x}",
                )
            )
        newest[place] = max(earlier, execution.token)
    return found
