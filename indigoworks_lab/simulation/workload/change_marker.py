"""Marks a settings tree with the change that made it."""

from collections.abc import Iterable

MARKER_PREFIX = "change-"
"""A group of this name stands in the tree that the change made; it has no other use."""


def marker_of(groups: Iterable[str]) -> str:
    """Return the id of the change that made the tree with these groups."""
    for group in groups:
        if group.startswith(MARKER_PREFIX):
            return group.removeprefix(MARKER_PREFIX)
    return ""


def marked_tree(change_id: str, services: Iterable[str], initial_ranges: int) -> dict[str, object]:
    """Return a settings tree for `services`, marked with `change_id`."""
    overrides: dict[str, object] = {
        "request_timeout_s": 2.0,
        "placement": {"initial_ranges": initial_ranges, "move_budget_per_minute": 30.0},
    }
    return {
        "defaults": overrides,
        "groups": {"default": {"weight": 1.0}, MARKER_PREFIX + change_id: {"weight": 1.0}},
        "services": {service: {} for service in services},
    }
