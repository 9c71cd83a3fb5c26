"""Preparation of the command line for fire, which parses it."""

import json
from collections.abc import Sequence

from fire.parser import DefaultParseValue

HELP_FLAGS = frozenset({"--help", "-h"})


def as_texts(arguments: Sequence[str]) -> list[str]:
    """Quote the values that fire would parse as numbers or lists: every value here is text.

    A key `0012` or `1_000` must be sent as typed.
    """
    return [_as_text(each) for each in arguments]


def wants_help(arguments: Sequence[str]) -> bool:
    """Return whether any argument is a help flag."""
    return any(each in HELP_FLAGS for each in arguments)


def command_path(root: object, arguments: Sequence[str]) -> list[str]:
    """Return the leading arguments that name a command below `root`."""
    path: list[str] = []
    component: object = root
    for argument in arguments:
        # fire treats dashes in the name of a command as underscores.
        name = argument.replace("-", "_")
        if name.startswith("_") or not hasattr(type(component), name):
            break
        path.append(argument)
        component = getattr(component, name)
        if callable(component):
            break
    return path


def _as_text(argument: str) -> str:
    flag, separator, value = argument.partition("=")
    if argument.startswith("--") and separator:
        return f"{flag}={_quoted(value)}"
    return argument if argument.startswith("-") else _quoted(argument)


def _quoted(value: str) -> str:
    return value if DefaultParseValue(value) == value else json.dumps(value)
