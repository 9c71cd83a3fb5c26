"""What a caller got for one try."""

from dataclasses import dataclass


@dataclass(frozen=True)
class CallerAnswer:
    """Answer to one try of a caller at `at_s`, sent at `sent_s`; `retry_after_s` None: it does not
    say."""

    sent_s: float
    at_s: float
    target: str
    caller: str
    status: int
    gateway: str
    retry_after_s: float | None
    text: str
