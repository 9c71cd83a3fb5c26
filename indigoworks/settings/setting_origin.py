"""Origin of a resolved value: the level of the settings tree that sets it."""

from dataclasses import dataclass

SettingValue = float | int | bool | str | tuple[str, ...]
"""Value of one field of the tree."""


@dataclass(frozen=True)
class SettingOrigin:
    """A value and the level that set it.

    :ivar name: field, such as `weight` or `placement.prefer`.
    :ivar level: path of the level, such as `services.catalogue.groups.web`, or `built-in`.
    """

    name: str
    value: SettingValue
    level: str
