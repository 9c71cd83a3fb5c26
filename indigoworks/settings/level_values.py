"""Lists the fields that one level of the settings tree sets."""

from collections.abc import Iterator

from pydantic import BaseModel

from indigoworks.settings.overrides import Overrides
from indigoworks.settings.setting_origin import SettingValue

_NESTED_FIELDS = frozenset({"placement", "groups", "keys"})


def level_values(overrides: Overrides) -> Iterator[tuple[str, SettingValue]]:
    """Yield name and value of each field that `overrides` itself sets, without levels below it."""
    yield from _fields_set_in(overrides, "")
    if overrides.placement is not None:
        yield from _fields_set_in(overrides.placement, "placement.")


def _fields_set_in(model: BaseModel, prefix: str) -> Iterator[tuple[str, SettingValue]]:
    for name in type(model).model_fields:
        value: SettingValue | None = getattr(model, name)
        if name not in _NESTED_FIELDS and value is not None:
            yield prefix + name, value
