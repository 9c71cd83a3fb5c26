"""Validation of the flag values that fire passes."""

from typing import Any

from result import Err, Ok, Result

from indigoworks.cli.errors import Misuse


def required_text(flag: str, value: object) -> Result[str, Misuse]:
    """Return the text of a flag or argument that must be given with a value."""
    if isinstance(value, str) and value:
        return Ok(value)
    return Err(Misuse(f"{flag} has no value.", f"Give a value after {flag}."))


def optional_text(flag: str, value: object) -> Result[str | None, Misuse]:
    """Return the text of a flag, or None if it was not given."""
    if value is None:
        return Ok(None)
    return required_text(flag, value)


def optional_number(flag: str, value: object) -> Result[int | None, Misuse]:
    """Return the whole number of a flag, or None if it was not given."""
    if value is None:
        return Ok(None)
    text = str(value)
    if text.isdecimal():
        return Ok(int(text))
    return Err(
        Misuse(f"{flag} {text!r} is not a whole number.", f"Give a number from 0 after {flag}.")
    )


def first_error(*checked: Result[Any, Misuse]) -> Misuse | None:
    """Return the first error among `checked`, or None if there is none."""
    errors = [each.unwrap_err() for each in checked if isinstance(each, Err)]
    return errors[0] if errors else None
