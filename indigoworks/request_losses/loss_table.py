"""Table of lost, refused and late requests by service, cause and time.

A loss is a request that was refused, cancelled, lost without a response, or answered late or with a
server error.
"""

from collections import Counter
from collections.abc import Iterable

from indigoworks.request_losses.loss_cause import cause_of
from indigoworks.request_story.log_line import LogLine

DROPPED_LINES = "log:dropped"
"""Type of the line in which a gateway reports how many lines of each type it dropped."""

TOP_CAUSES = 3
"""Number of causes printed for each time window."""


class LossTable:
    """Counts the losses that log lines record.

    :param window_s: length of the time windows, in seconds.
    """

    def __init__(self, lines: Iterable[LogLine], window_s: float) -> None:
        self._window_s = window_s
        self._by_service: dict[str, Counter[str]] = {}
        self._by_window: dict[int, Counter[str]] = {}
        self._dropped: Counter[str] = Counter()
        self._start_s: float | None = None
        for line in sorted(lines, key=lambda each: each.at_s):
            self._add(line)

    def _add(self, line: LogLine) -> None:
        if self._start_s is None:
            self._start_s = line.at_s
        if line.message_type == DROPPED_LINES:
            self._add_dropped(line)
            return
        cause = cause_of(line)
        if cause is None:
            return
        service = str(line.fields.get("service") or "(no service yet)")
        self._by_service.setdefault(service, Counter())[cause] += 1
        window = int((line.at_s - self._start_s) / self._window_s)
        self._by_window.setdefault(window, Counter())[f"{service}: {cause}"] += 1

    def _add_dropped(self, line: LogLine) -> None:
        types = line.fields.get("types")
        if isinstance(types, dict):
            self._dropped.update({str(name): int(count) for name, count in types.items()})

    def render(self) -> str:
        """Return the table as text: by service and cause, then by time window."""
        if not self._by_service:
            return "No log line records a request that was refused, lost or late.\n"
        return "".join([*self._service_rows(), "\n", *self._window_rows(), *self._dropped_rows()])

    def _service_rows(self) -> Iterable[str]:
        yield f"{'service':<24} {'cause':<32} {'requests':>8}\n"
        for service, causes in sorted(self._by_service.items()):
            for cause, count in causes.most_common():
                yield f"{service:<24} {cause:<32} {count:>8}\n"

    def _window_rows(self) -> Iterable[str]:
        yield f"{'from second':>11} {'requests':>8}  top causes\n"
        for window, causes in sorted(self._by_window.items()):
            top = ", ".join(f"{cause} {count}" for cause, count in causes.most_common(TOP_CAUSES))
            yield f"{window * self._window_s:>11.1f} {causes.total():>8}  {top}\n"

    def _dropped_rows(self) -> Iterable[str]:
        if self._dropped:
            counts = ", ".join(f"{name} {count}" for name, count in self._dropped.most_common())
            yield f"\nLines that gateways dropped, and which are not counted: {counts}\n"
