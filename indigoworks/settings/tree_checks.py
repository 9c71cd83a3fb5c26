"""Checks of the settings tree as a whole, beyond those of single fields."""

from collections.abc import Iterator

from indigoworks.settings.resolved_settings import ResolvedSettings
from indigoworks.settings.service_settings import ServiceSettings
from indigoworks.settings.settings_problem import SettingsProblem
from indigoworks.settings.settings_resolver import SettingsResolver
from indigoworks.settings.settings_tree import DEFAULT_GROUP, SettingsTree

MAX_RANGES_PER_SERVICE = 8192
MAX_WEIGHT_RATIO = 1000.0
"""Largest ratio of two groups' weights; above it the lightest group would hardly be served."""
RANGES_PER_OWN_RANGE = 2
"""A key that gets a range of its own splits one range into at most three, which adds two."""
SERVICE_WIDE_FIELDS = ("placement", "hop")
"""Fields that apply to a whole service: a group or key cannot override them."""


def tree_problems(tree: SettingsTree) -> tuple[SettingsProblem, ...]:
    """Return all problems of the tree as a whole; empty if it may take effect."""
    return tuple(_all_problems(tree))


def _all_problems(tree: SettingsTree) -> Iterator[SettingsProblem]:
    if not tree.services:
        yield SettingsProblem(
            "services", "the tree names no service", "Add at least one service under services."
        )
    for group, overrides in tree.groups.items():
        yield from _service_wide_problems(f"groups.{group}", overrides)
    resolver = SettingsResolver(tree)
    for name, service in tree.services.items():
        yield from _service_problems(tree, name, service)
        yield from _resolved_problems(tree, resolver, name, service)


def _service_problems(
    tree: SettingsTree, name: str, service: ServiceSettings
) -> Iterator[SettingsProblem]:
    path = f"services.{name}"
    for group, overrides in service.groups.items():
        group_path = f"{path}.groups.{group}"
        if group not in tree.groups and group != DEFAULT_GROUP:
            yield SettingsProblem(
                group_path,
                f"group {group!r} is not defined",
                f"Add {group!r} under groups at the root, or remove {group_path}.",
            )
        yield from _service_wide_problems(group_path, overrides)
    for key, key_overrides in service.keys.items():
        yield from _service_wide_problems(f"{path}.keys.{key}", key_overrides)
        if key_overrides.weight is not None:
            yield SettingsProblem(
                f"{path}.keys.{key}.weight",
                "a key has no weight, groups have",
                f"Remove it, or set the weight of a group under {path}.groups.",
            )


def _service_wide_problems(path: str, overrides: object) -> Iterator[SettingsProblem]:
    for field in SERVICE_WIDE_FIELDS:
        if getattr(overrides, field) is not None:
            yield SettingsProblem(
                f"{path}.{field}",
                f"{field} holds for a whole service",
                f"Remove {path}.{field}; set it under services.NAME or defaults.",
            )


def _resolved_problems(
    tree: SettingsTree, resolver: SettingsResolver, name: str, service: ServiceSettings
) -> Iterator[SettingsProblem]:
    path = f"services.{name}"
    weights: dict[str, float] = {}
    for group in dict.fromkeys((DEFAULT_GROUP, *tree.groups)):
        resolved = resolver.resolve(name, group)
        assert resolved is not None
        weights[group] = resolved.weight
        yield from _time_problems(f"{path} with group {group}", resolved)
    yield from _weight_problems(path, weights)
    for key in service.keys:
        resolved_key = resolver.resolve(name, None, key.encode("utf-8"))
        assert resolved_key is not None
        yield from _time_problems(f"{path}.keys.{key}", resolved_key)
    yield from _range_count_problems(resolver, name, service)


def _time_problems(path: str, resolved: ResolvedSettings) -> Iterator[SettingsProblem]:
    if resolved.max_queue_delay_s >= resolved.request_timeout_s:
        yield SettingsProblem(
            path,
            f"max_queue_delay_s ({resolved.max_queue_delay_s:g}) is not below "
            f"request_timeout_s ({resolved.request_timeout_s:g})",
            "Lower max_queue_delay_s or raise request_timeout_s, so that time to run is left.",
        )


def _weight_problems(path: str, weights: dict[str, float]) -> Iterator[SettingsProblem]:
    lightest = min(weights, key=lambda group: weights[group])
    heaviest = max(weights, key=lambda group: weights[group])
    if weights[heaviest] > weights[lightest] * MAX_WEIGHT_RATIO:
        yield SettingsProblem(
            path,
            f"weight of group {heaviest!r} is more than {MAX_WEIGHT_RATIO:g} times that "
            f"of group {lightest!r}",
            f"Raise the weight of {lightest!r} or lower that of {heaviest!r}.",
        )


def _range_count_problems(
    resolver: SettingsResolver, name: str, service: ServiceSettings
) -> Iterator[SettingsProblem]:
    resolved = resolver.resolve(name)
    assert resolved is not None
    own = sum(1 for each in service.keys.values() if each.own_range)
    total = resolved.placement.initial_ranges + RANGES_PER_OWN_RANGE * own
    if total > MAX_RANGES_PER_SERVICE:
        yield SettingsProblem(
            f"services.{name}",
            f"{own} keys with own_range and {resolved.placement.initial_ranges} initial ranges "
            f"may make {total} ranges, the limit is {MAX_RANGES_PER_SERVICE}",
            "Take own_range from some keys or lower placement.initial_ranges.",
        )
