"""One fault of a link run, with its figures."""

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from statistics import median

from indigoworks_lab.checkers.history.call import Call
from indigoworks_lab.checkers.history.call_outcome import CallOutcome


@dataclass
class LinkStage:
    """A cut from `from_s` until it is healed and everything is served again at `to_s`.

    :ivar cut_flows: the flows that were cut.
    :ivar cut_routers: routers that were to stop forwarding; the times leave their calls out.
    :ivar held: how often each of them held something back in this stage.
    """

    name: str
    from_s: float
    cut_flows: Sequence[str]
    cut_routers: Sequence[str] = ()
    to_s: float = 0.0
    held: Mapping[str, int] = field(default_factory=dict)

    def text(self, calls: Sequence[Call]) -> str:
        """Return the figures as a line of text.

        :param calls: all calls of the run.
        """
        within = [call for call in calls if self.from_s <= call.invoked_s < self.to_s]
        outcomes = Counter(call.outcome.value for call in within if call.outcome is not None)
        counts = ", ".join(f"{count} {outcome}" for outcome, count in sorted(outcomes.items()))
        waits = self._waits([call for call in within if call.router not in self.cut_routers])
        return (
            f"{self.name}: {self.to_s - self.from_s:.1f} s, bytes held {sum(self.held.values())} "
            f"times; all calls: {counts}; through routers not cut off, time until the key was "
            f"served: median {median(waits):.3f} s, longest {max(waits):.2f} s"
        )

    def _waits(self, calls: Sequence[Call]) -> list[float]:
        """Return, per call, the time until it or a later call on its key had a whole answer."""
        served: dict[bytes, list[Call]] = defaultdict(list)
        for call in calls:
            if call.outcome is CallOutcome.COMPLETED:
                served[call.key].append(call)
        return [
            min(
                (
                    (later.answered_s or self.to_s) - call.invoked_s
                    for later in served[call.key]
                    if later.invoked_s >= call.invoked_s
                ),
                default=self.to_s - call.invoked_s,
            )
            for call in calls
        ]
