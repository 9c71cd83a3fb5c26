"""Loads the settings of a process from a file and flags."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any, TypeVar

from pydantic import ValidationError
from result import Err, Ok, Result

from indigoworks.settings.document import read_document
from indigoworks.settings.errors import InvalidSettings, SettingsError, SettingsFileUnreadable
from indigoworks.settings.problem_texts import problems_of
from indigoworks.settings.process_settings import ProcessSettings

ProcessSettingsT = TypeVar("ProcessSettingsT", bound=ProcessSettings)

SUBJECT = "process settings"


def load_process_settings(
    model: type[ProcessSettingsT], path: str | None, flags: Mapping[str, object]
) -> Result[ProcessSettingsT, SettingsError]:
    """Return the settings of a process; a flag takes precedence over the file.

    :param path: YAML or JSON file, or None for flags alone.
    :param flags: field names and values; None: flag not given.
    """
    fields: dict[str, Any] = {}
    if path is not None:
        content = read_file(path)
        if isinstance(content, Err):
            return content
        document = read_document(content.unwrap(), SUBJECT)
        if isinstance(document, Err):
            return document
        fields.update(document.unwrap())
    fields.update(_flag_fields(flags))
    try:
        return Ok(model.model_validate(fields))
    except ValidationError as error:
        return Err(InvalidSettings.from_problems(SUBJECT, problems_of(model, error)))


def read_file(path: str) -> Result[bytes, SettingsFileUnreadable]:
    """Return the content of the file at `path`."""
    try:
        return Ok(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        return Err(
            SettingsFileUnreadable(
                f"The file {path!r} cannot be read: {reason}.",
                "Give the path of a readable file.",
            )
        )


def _flag_fields(flags: Mapping[str, object]) -> dict[str, object]:
    return {name: _flag_value(name, value) for name, value in flags.items() if value is not None}


def _flag_value(name: str, value: object) -> object:
    """Convert a flag back to text where the command line parser turned it into a literal."""
    if name == "controllers":
        parts = value if isinstance(value, list | tuple) else str(value).split(",")
        return [str(part).strip() for part in parts if str(part).strip()]
    if name in ("name", "zone", "host", "platform_url", "log_level"):
        return str(value)
    return value
