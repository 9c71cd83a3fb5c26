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
