"""Parses a settings document (YAML or JSON) into plain values."""

import json
from typing import Any

import yaml
from result import Err, Ok, Result

from indigoworks.settings.errors import InvalidSettings
from indigoworks.settings.settings_problem import SettingsProblem
from indigoworks.settings.unique_key_loader import UniqueKeyLoader

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
"""Largest settings document; it must fit into a frame and into a row of the table service."""


class DuplicateField(ValueError):
    """A JSON object contains a field twice."""


def read_document(content: bytes, subject: str) -> Result[dict[str, Any], InvalidSettings]:
    """Parse `content`, whose top level must be a mapping.

    :param subject: name of the document in errors, such as "settings tree".
    """
    if len(content) > MAX_DOCUMENT_BYTES:
        fault = f"it has {len(content)} bytes, the limit is {MAX_DOCUMENT_BYTES}"
        return _refused(subject, fault, "Make the document smaller.")
    try:
        document = _parse(content.decode("utf-8"))
    except UnicodeDecodeError as error:
        return _refused(subject, f"byte {error.start} is not UTF-8", "Save the file as UTF-8.")
    except (yaml.YAMLError, ValueError) as error:
        return _refused(subject, _one_line(error), "Correct the YAML or JSON at that place.")
    except RecursionError:
        return _refused(subject, "it is nested too deeply", "Keep to the levels of the tree.")
    if not isinstance(document, dict):
        fault = f"the document is {_kind_name(document)}, not a mapping of fields"
        return _refused(subject, fault, "Write `field: value` lines at the top level.")
    return Ok(document)


def _parse(text: str) -> Any:
    if text.lstrip().startswith("{"):
        # YAML reads 1e-05 as text, so JSON must be read as JSON; braces may also open YAML.
        try:
            return json.loads(text, object_pairs_hook=_unique_fields)
        except json.JSONDecodeError:
            pass
    return yaml.load(text, Loader=UniqueKeyLoader)


def _unique_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields = dict(pairs)
    if len(fields) != len(pairs):
        names = [name for name, _ in pairs]
        twice = next(name for name in names if names.count(name) > 1)
        raise DuplicateField(f"field {twice!r} occurs twice in one mapping")
    return fields


def _refused(subject: str, fault: str, remedy: str) -> Err[InvalidSettings]:
    problem = SettingsProblem("document", fault, remedy)
    return Err(InvalidSettings.from_problems(subject, (problem,)))


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split()).rstrip(".")


def _kind_name(document: object) -> str:
    if document is None:
        return "empty"
    return "a list" if isinstance(document, list) else f"a {type(document).__name__}"
