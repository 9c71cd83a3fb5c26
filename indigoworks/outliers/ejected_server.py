"""A server that is ejected, and how it comes back."""

from dataclasses import dataclass

TRIAL_PERIOD_S = 0.2
"""Time between the trial requests of the whole group to an ejected server."""

TRIAL_SHARE = 1 / 12
"""Largest share of the repeatable requests of a service that are trials: at low rates trials would
be more than a tenth of all requests."""

OWNER_TRIAL_SHARE = 1 / 3
"""The same of the requests for the keys of an owner, which are a part of those of its service."""

TRIAL_LOST_S = 1.5
"""Time after which a trial without an outcome no longer stands in the way of the next one."""

MIN_PROOFS = 3
"""Good responses to trials, the group's together, after which a server gets its full share."""

MAX_PROOFS = 12
"""The same for a server that was ejected again soon after each return."""

MAX_EJECTION_S = 10.0
"""Time after which a server comes back without a trial: perhaps no request may be repeated."""


@dataclass(slots=True)
class EjectedServer:
    """State of one ejection.

    :ivar service: service of the server.
    :ivar since_s: clock reading of the ejection.
    :ivar is_total: it served nobody since its first fault: not even an owner of keys gets requests.
    :ivar needed: good responses to trials after which it comes back.
    :ivar proofs: good responses in a row so far.
    :ivar trials: trial requests so far.
    :ivar next_trial_s: clock reading of the next trial.
    :ivar trial_until_s: clock reading until which a trial is under way.
    """

    service: str
    since_s: float
    is_total: bool
    needed: int
    proofs: int = 0
    trials: int = 0
    next_trial_s: float = 0.0
    trial_until_s: float = float("-inf")

    def may_try(self, now_s: float, drawn: float, share: float) -> bool:
        """Return whether a trial request may go there now.

        Once a trial went well the next one follows at once, one at a time.

        :param drawn: random number from 0 to 1.
        :param share: largest share of the requests that may be trials.
        """
        if now_s < self.trial_until_s:
            return False
        return self.proofs > 0 or (now_s >= self.next_trial_s and drawn < share)

    def start_trial(self, now_s: float, period_s: float) -> None:
        """Count a trial request."""
        self.trials += 1
        self.next_trial_s = now_s + period_s
        self.trial_until_s = now_s + TRIAL_LOST_S

    def record_good(self) -> bool:
        """Record a good response; return whether the server has proved itself."""
        self.trial_until_s = float("-inf")
        self.proofs += 1
        return self.proofs >= self.needed

    def record_fault(self) -> None:
        """Record a fault: the proofs begin anew."""
        self.trial_until_s = float("-inf")
        self.proofs = 0
