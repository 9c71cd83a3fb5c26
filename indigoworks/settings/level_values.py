"""The fields that one level sets."""

from collections.abc import Iterator

from pydantic import BaseModel

from indigoworks.settings.overrides import Overrides
from indigoworks.settings.setting_origin import SettingValue

_BRANCH_FIELDS = frozenset({"placement", "groups", "keys"})


def level_values(overrides: Overrides) -> Iterator[tuple[str, SettingValue]]:
    """Yield name and value of each field that `overrides` itself sets, not its branches."""
    yield from _set_fields(overrides, "")
    if overrides.placement is not None:
        yield from _set_fields(overrides.placement, "placement.")


def _set_fields(model: BaseModel, prefix: str) -> Iterator[tuple[str, SettingValue]]:
    for name in type(model).model_fields:
        value: SettingValue | None = getattr(model, name)
        if name not in _BRANCH_FIELDS and value is not None:
            yield prefix + name, value
