"""What a stand-in back end does with an answer."""

from enum import Enum, auto


class AnswerFate(Enum):
    """How much of an answer is sent."""

    WHOLE = auto()
    CUT = auto()
    """Half of the body is sent, then the connection is closed."""

    LOST = auto()
    """Nothing is sent, then the connection is closed."""
