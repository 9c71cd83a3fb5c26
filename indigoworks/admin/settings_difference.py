"""Difference between two settings trees."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from indigoworks.settings.settings_tree import SettingsTree

JsonValue = Any
"""A plain JSON value; None if the field is not set."""


@dataclass(frozen=True)
class SettingsDifference:
    """One field that differs.

    :ivar path: dotted path of the field, such as `services.catalogue.weight`.
    :ivar old: value in the first tree; None if it is not set.
    :ivar new: value in the second tree; None if it is not set.
    """

    path: str
    old: JsonValue
    new: JsonValue


def settings_difference(old: SettingsTree, new: SettingsTree) -> tuple[SettingsDifference, ...]:
    """Return the fields in which `new` differs from `old`, sorted by path."""
    old_fields = old.model_dump(mode="json", exclude_none=True)
    new_fields = new.model_dump(mode="json", exclude_none=True)
    return tuple(_differences("", old_fields, new_fields))


def _differences(path: str, old: JsonValue, new: JsonValue) -> Iterator[SettingsDifference]:
    if old == new:
        return
    if not isinstance(old, dict) or not isinstance(new, dict):
        yield SettingsDifference(path, old, new)
        return
    for name in sorted(old.keys() | new.keys()):
        inner = f"{path}.{name}" if path else name
        yield from _differences(inner, old.get(name), new.get(name))
