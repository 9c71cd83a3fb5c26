"""One fault found in settings."""

from dataclasses import dataclass


@dataclass(frozen=True)
class SettingsProblem:
    """A fault and what to do about it.

    :ivar path: dotted path of the field, such as `services.catalogue.weight`.
    :ivar message: what is wrong, without a full stop.
    :ivar remedy: what to change, one sentence.
    """

    path: str
    message: str
    remedy: str
