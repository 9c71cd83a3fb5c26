"""What the servers of a soak recorded, and which of their grants are not counted."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from indigoworks_lab.gateway_soak.healed_path import HealedPath
from indigoworks_lab.gateway_soak.key_event import KeyEvent
from indigoworks_lab.gateway_soak.key_server_life import KeyServerLife

SLACK_S = 0.3
"""Grants that arrive within it after their sender was thawed or their link healed do not count."""


@dataclass
class KeyHistory:
    """Times are of CLOCK_MONOTONIC, in seconds.

    :ivar healed: senders that were thawed and links that healed.
    :ivar sent_s: by server and sender, and the port of the connection: when something was sent.
    :ivar names: of senders, by their address.
    :ivar unsafe_answers: statuses that callers got for requests that may run once, by their id.
    :ivar woken_s: by server, when its process went on after a stop; it excuses nothing.
    """

    lives: Sequence[KeyServerLife]
    healed: Sequence[HealedPath] = ()
    woken_s: dict[str, list[float]] = field(default_factory=dict)
    sent_s: Mapping[tuple[str, str], Mapping[int, Sequence[float]]] = field(default_factory=dict)
    names: Mapping[str, str] = field(default_factory=dict)
    unsafe_answers: Mapping[str, int] = field(default_factory=dict)

    def is_counted(self, life: KeyServerLife, grant: KeyEvent) -> bool:
        """Tell whether the rules count a grant."""
        return not any(
            each.sender == grant.sender
            and each.server_id in ("", life.server_id)
            and 0.0 <= grant.at_s - each.at_s <= SLACK_S
            for each in self.healed
        )

    def is_in_time(self, life: KeyServerLife, grant: KeyEvent) -> bool:
        """Tell whether a grant counts also where those that are received late do not."""
        return self.is_counted(life, grant) and self.late_s(life, grant) <= SLACK_S

    def late_s(self, life: KeyServerLife, grant: KeyEvent) -> float:
        """Return the time from the sending of a grant until it was taken; 0: not known."""
        known = self.sent_s.get((life.server_id, grant.sender), {}).get(grant.sender_port, ())
        return grant.at_s - max((each for each in known if each <= grant.at_s), default=grant.at_s)

    def grant_text(self, life: KeyServerLife, grant: KeyEvent) -> str:
        """Say under which token a grant was taken, whose it was, and when it was sent."""
        sender = self.names.get(grant.sender, grant.sender)
        taken = f"token {grant.token} of {sender or '?'} at {grant.at_s:.3f} s"
        late_s = self.late_s(life, grant)
        return f"{taken}, {late_s:.3f} s after it was sent" if late_s > SLACK_S else taken

    def awake_text(self, life: KeyServerLife, at_s: float) -> str:
        """Say for how long a server had run since its last stop, if it was ever stopped."""
        before = [each for each in self.woken_s.get(life.server_id, ()) if each <= at_s]
        return f", {life.name} awake for {at_s - max(before):.3f} s" if before else ""
