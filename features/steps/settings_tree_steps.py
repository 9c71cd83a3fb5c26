"""Steps on the settings tree: its checks and its inheritance."""

import json
from pathlib import Path

import yaml
from behave import given, then, when
from hypothesis import assume
from hypothesis import given as for_all
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from result import Err, Ok

from indigoworks.settings import SettingsResolver, canonical_json, parse_tree

SAMPLES = Path(__file__).parents[2] / "etc"
REPLAYABLE = hypothesis_settings(max_examples=80, derandomize=True, deadline=None, database=None)

FIELDS = {
    "weight": st.integers(1, 30).map(float),
    "request_timeout_s": st.integers(2, 9).map(float),
    "max_queue_delay_s": st.floats(1e-6, 1.0),
    "max_body_bytes": st.integers(0, 1000),
    "retry_limit": st.integers(0, 10),
    "repeatable_methods": st.lists(st.sampled_from(["GET", "PUT", "POST"]), unique=True),
}
SERVICE_FIELDS = {
    **FIELDS,
    "hop": st.sampled_from(["dispatcher", "direct"]),
    "placement": st.fixed_dictionaries({}, optional={"initial_ranges": st.integers(1, 4096)}),
}
KEY_FIELDS = {
    **{name: FIELDS[name] for name in FIELDS if name != "weight"},
    "own_range": st.booleans(),
}
GROUPS = ["default", "red", "blue"]
KEYS = st.text(min_size=1, max_size=4).filter(lambda text: text.isprintable())


def level(fields):
    return st.fixed_dictionaries({}, optional=fields)


@st.composite
def trees(draw):
    groups = draw(st.dictionaries(st.sampled_from(GROUPS), level(FIELDS)))
    known = [*groups, "default"]

    def service():
        tree = draw(level(SERVICE_FIELDS))
        tree["groups"] = draw(st.dictionaries(st.sampled_from(known), level(FIELDS)))
        tree["keys"] = draw(st.dictionaries(KEYS, level(KEY_FIELDS), max_size=3))
        return tree

    names = draw(st.lists(st.sampled_from(["a", "b"]), min_size=1, unique=True))
    return {
        "defaults": draw(level(SERVICE_FIELDS)),
        "groups": groups,
        "services": {name: service() for name in names},
    }


@when("the settings tree is parsed")
def parse_document(context):
    context.parsed = parse_tree(context.text.encode())


@when("the settings tree gives {count:d} keys of a service with 4096 ranges a range of their own")
def parse_many_keys(context, count):
    keys = {f"k{number}": {"own_range": True} for number in range(count)}
    service = {"placement": {"initial_ranges": 4096}, "keys": keys}
    context.parsed = parse_tree(json.dumps({"services": {"a": service}}).encode())


@when("the settings tree is parsed from {content}")
def parse_bytes(context, content):
    contents = {
        "bytes that are not UTF-8": b"\xff\xfe",
        "5000 nested lists": b"[" * 5000,
        "5 MiB": b" " * (5 * 1024 * 1024),
    }
    context.parsed = parse_tree(contents[content])


@then('the settings tree is refused at "{path}" saying "{fault}"')
def refused(context, path, fault):
    assert isinstance(context.parsed, Err), context.parsed
    error = context.parsed.unwrap_err()
    assert error.kind == "invalid_settings"
    context.problems = [each for each in error.problems if each.path == path]
    assert any(fault in each.message for each in context.problems), error.problems
    assert path in error.message and fault in error.message, error.message


@then('the settings remedy says "{remedy}"')
def remedy_named(context, remedy):
    assert any(remedy in each.remedy for each in context.problems), context.problems
    assert remedy in context.parsed.unwrap_err().remedy


@given("the settings tree")
def given_tree(context):
    context.tree = parse_tree(context.text.encode()).unwrap()


@when('settings are resolved for "{service}", group "{group}" and key "{key}"')
@when('settings are resolved for "{service}", group "" and key "{key}"')
@when('settings are resolved for "{service}", group "{group}" and key ""')
@when('settings are resolved for "{service}", group "" and key ""')
def resolve(context, service, group=None, key=None):
    resolver = SettingsResolver(context.tree)
    given_key = None if key is None else key.encode()
    context.resolved = resolver.resolve(service, group, given_key)
    context.origins = resolver.explain(service, group, given_key)


@then('the settings value "{name}" is {value} from "{level}"')
def value_is(context, name, value, level):
    (origin,) = [each for each in context.origins if each.name == name]
    assert (origin.value, origin.level) == (json.loads(value), level), origin
    resolved = context.resolved
    for part in name.split("."):
        resolved = getattr(resolved, part)
    assert resolved == json.loads(value)


@then('settings of "{service}" resolve to nothing')
def resolves_to_nothing(context, service):
    resolver = SettingsResolver(context.tree)
    assert resolver.resolve(service) is None
    assert resolver.explain(service) is None


@then('the settings of "{service}" limit a group to {count:d} requests')
def limits_group(context, service, count):
    limit = SettingsResolver(context.tree).resolve(service).max_concurrency_per_group
    assert limit == count, limit


@then('the settings of "{service}" limit no group')
def limits_no_group(context, service):
    limit = SettingsResolver(context.tree).resolve(service).max_concurrency_per_group
    assert limit is None, limit


@then('settings of "{service}" resolve for a key that is not UTF-8 with retry limit {limit:d}')
def resolves_binary_key(context, service, limit):
    assert SettingsResolver(context.tree).resolve(service, None, b"\xff").retry_limit == limit


@then("the canonical settings of any tree read back to the same bytes")
def canonical_reads_back(context):
    accepted = []

    @REPLAYABLE
    @for_all(trees())
    def check(document):
        parsed = parse_tree(json.dumps(document).encode())
        assume(isinstance(parsed, Ok))
        accepted.append(document)
        content = canonical_json(parsed.unwrap())
        read_back = parse_tree(content).unwrap()
        assert read_back == parsed.unwrap()
        assert canonical_json(read_back) == content
        from_yaml = parse_tree(yaml.safe_dump(document, allow_unicode=True).encode())
        assert from_yaml.is_ok(), from_yaml
        assert canonical_json(from_yaml.unwrap()) == content

    check()
    assert len(accepted) >= 60, len(accepted)


def expected_value(document, service, group, key, name):
    """Look the value up from the key towards the root, on the plain document."""
    at_service = document["services"][service]
    known = group if group in document["groups"] else "default"
    nearest_first = [
        at_service["keys"].get(key, {}),
        at_service["groups"].get(known, {}),
        at_service,
        document["groups"].get(known, {}),
        document["defaults"],
    ]
    built_in = {
        "weight": 1.0,
        "request_timeout_s": 10.0,
        "max_queue_delay_s": 1.0,
        "max_body_bytes": 1024 * 1024,
        "retry_limit": 2,
        "repeatable_methods": ["GET", "HEAD", "OPTIONS"],
    }
    values = [each[name] for each in nearest_first if name in each]
    return values[0] if values else built_in[name]


@then("settings of any tree resolve to the nearest value set or the built-in one")
def resolves_nearest(context):
    accepted = []

    @REPLAYABLE
    @for_all(trees(), st.sampled_from([*GROUPS, "unknown", None]), st.data())
    def check(document, group, data):
        parsed = parse_tree(json.dumps(document).encode())
        assume(isinstance(parsed, Ok))
        accepted.append(document)
        service = data.draw(st.sampled_from(sorted(document["services"])))
        keys = sorted(document["services"][service]["keys"])
        key = data.draw(st.sampled_from([*keys, "no such key"]))
        resolved = SettingsResolver(parsed.unwrap()).resolve(service, group, key.encode())
        for name in FIELDS:
            value = getattr(resolved, name)
            expected = expected_value(document, service, group, key, name)
            if name == "repeatable_methods":
                expected = frozenset(expected)
            assert value == expected, (name, value, expected)

    check()
    assert len(accepted) >= 60, len(accepted)


@when('the settings sample "{file}" is parsed')
def parse_sample(context, file):
    context.parsed = parse_tree((SAMPLES / file).read_bytes())


@then('the settings sample is accepted with the services "{services}"')
def sample_accepted(context, services):
    context.tree = context.parsed.unwrap()
    assert sorted(context.tree.services) == services.split(", "), context.tree.services


@then('the settings sample prefers "{preference}" in every service')
def sample_prefers(context, preference):
    resolver = SettingsResolver(context.tree)
    prefers = {resolver.resolve(name).placement.prefer for name in context.tree.services}
    assert prefers == {preference}, prefers
