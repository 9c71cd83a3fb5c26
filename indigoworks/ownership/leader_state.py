"""States of a process as leader of a control group."""

from enum import Enum


class LeaderState(Enum):
    """States of a process as leader, for the log."""

    LEADS = "leads"
    """The newest known row names it, and it has a proof."""
    UNPROVED = "unproved"
    """The newest known row names it, and it has no proof."""
    RESIGNED = "resigned"
    """It has resigned, whether it led or not; a proof of leadership may have arrived after that."""
    LOST = "lost"
    """It has acted as leader, and the newest known row does not name it."""
    NEVER_LED = "never_led"

    @classmethod
    def of(
        cls, is_given_up: bool, is_named: bool, has_proof: bool, has_acted: bool
    ) -> "LeaderState":
        """Return the state of a process by what it knows of the leader row and itself."""
        if is_given_up:
            return cls.RESIGNED
        if is_named:
            return cls.LEADS if has_proof else cls.UNPROVED
        return cls.LOST if has_acted else cls.NEVER_LED
