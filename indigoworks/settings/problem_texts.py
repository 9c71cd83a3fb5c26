"""Converts pydantic's errors into settings problems with a remedy."""

from difflib import get_close_matches

from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

from indigoworks.settings.field_names import field_names_at
from indigoworks.settings.settings_problem import SettingsProblem

Location = tuple[int | str, ...]


def problems_of(model: type[BaseModel], error: ValidationError) -> tuple[SettingsProblem, ...]:
    """Return the faults in pydantic's order, with dotted paths."""
    details = error.errors(include_url=False, include_context=True)
    return tuple(_problem(model, each) for each in details)


def _problem(model: type[BaseModel], detail: ErrorDetails) -> SettingsProblem:
    location = tuple(each for each in detail["loc"] if each != "[key]")
    path = ".".join(str(each) for each in location) or "document"
    if detail["type"] == "extra_forbidden":
        return SettingsProblem(path, "unknown field", _unknown_field_remedy(model, location))
    if detail["type"] == "missing":
        return SettingsProblem(path, "required field is missing", f"Set {path}.")
    if "[key]" in detail["loc"]:
        fault = f"{location[-1]!r} is not a valid name ({_fault(detail)})"
        remedy = f"Rename or quote {path}: names are text of a-z, 0-9, '.', '_' and '-'."
        return SettingsProblem(path, fault, remedy)
    fault = f"{_fault(detail)}, but it is {_shorten(detail['input'])}"
    return SettingsProblem(path, fault, f"Change {path} accordingly.")


def _fault(detail: ErrorDetails) -> str:
    message = detail["msg"].removeprefix("Value error, ")
    return message[:1].lower() + message[1:]


def _shorten(value: object) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def _unknown_field_remedy(model: type[BaseModel], location: Location) -> str:
    known = field_names_at(model, location[:-1])
    unknown = str(location[-1])
    nearest = get_close_matches(unknown, known, n=1, cutoff=0.5)
    if nearest:
        return f"Did you mean {nearest[0]!r} instead of {unknown!r}? Otherwise remove it."
    return f"Remove {unknown!r}; known fields here: {', '.join(sorted(known))}."
