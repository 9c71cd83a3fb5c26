"""Steps on what the platform folder reads."""

import json
import re
import tempfile
from pathlib import Path

from behave import then, when
from platform_folder_store_stand_in import ROOT, wire

# isort: split
from configuration_reader import read_configuration
from server_entry_reader import read_server_entry
from store_versions import at

from indigoworks.common.address import Address
from indigoworks.gateway.gateway_settings import (
    SettingsInvalid,
    SettingsUnreadable,
    load_gateway_settings,
)
from indigoworks.routes.errors import ConfigurationInvalid
from indigoworks.routes.route import WeightedService
from indigoworks.rowstore.row import Row

TEMPLATE = (ROOT / "deploy" / "gateway.settings.template").read_text()
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
GAP = re.compile(r"\{\{([\w.]+)\|json\}\}")
OPTIONAL = {
    "heartbeat": 1300,
    "bounds": {
        "drain": 2100,
        "grace": 7,
        "holdMax": 9000,
        "retryBudgetRatio": 0.3,
        "budgetWindow": 11,
        "retrySlack": 12,
    },
}
GIVEN = {
    "nodeName": "n7",
    "zone": "z2",
    "ip": "10.0.0.7",
    "ephemeralPorts": [7000, 7009],
    "listen": {"front": "10.0.0.7:80", "ready": "10.0.0.7:81"},
    "platform": {"address": "10.0.0.1:99"},
}


def look_up(fields, path):
    for name in path.split("."):
        fields = fields[int(name)] if isinstance(fields, list) else fields.get(name)
        if fields is None:
            return None
    return fields


def load(text):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings"
        if text is not None:
            path.write_text(text)
        return load_gateway_settings(str(path))


def fill(fields):
    def section(match):
        return match[2] if look_up(fields, match[1]) is not None else ""

    return GAP.sub(
        lambda match: json.dumps(look_up(fields, match[1])), SECTION.sub(section, TEMPLATE)
    )


@when("the platform folder's template is filled with every field")
def fill_all(context):
    context.platform_settings = load(fill({**GIVEN, **OPTIONAL})).unwrap()


@when("the platform folder's template is filled without the fields that may be missing")
def fill_given(context):
    context.platform_settings = load(fill(GIVEN)).unwrap()


@then("the platform folder's settings hold each of them")
def hold_each(context):
    got = context.platform_settings
    assert (got.node, got.zone) == ("n7", "z2")
    assert got.front_address == Address("10.0.0.7", 80)
    assert got.readiness_address == Address("10.0.0.7", 81)
    assert got.peer_address == Address("10.0.0.7", 7000)
    assert got.metrics_address == Address("10.0.0.7", 7009)
    assert got.store_address == Address("10.0.0.1", 99)
    assert (got.server_heartbeat_s, got.drain_s, got.stop_grace_s) == (1.3, 2.1, 7)
    assert (got.hold_max_s, got.retry_ratio) == (9, 0.3)
    assert (got.retry_window_s, got.retry_slack) == (11, 12)


@then("the platform folder's settings can be read")
def can_be_read(context):
    assert context.platform_settings.node == "n7"


@when("the platform folder's settings file {state}")
def bad_file(context, state):
    document = json.loads(fill(GIVEN))
    texts = {
        "is missing": None,
        "is garbled": fill(GIVEN)[:-3],
        "lacks a field": json.dumps({each: document[each] for each in document if each != "node"}),
        "names no port": json.dumps({**document, "store_address": "10.0.0.1"}),
        "is a list": "[]",
    }
    context.platform_result = load(texts[state])


@then("the platform folder's settings fail with a remedy that names the template")
def settings_fail(context):
    error = context.platform_result.unwrap_err()
    assert isinstance(error, SettingsUnreadable)
    assert "gateway.settings.template" in error.remedy and "settings" in error.message


@when("the platform folder's settings say {value} for {field}")
def one_value(context, value, field):
    # The decoder of JSON also reads NaN and Infinity.
    document = {**json.loads(fill(GIVEN)), field: json.loads(value)}
    context.platform_result = load(json.dumps(document))


@then("the platform folder's settings are refused with a remedy that names {field}")
def refused_by_name(context, field):
    error = context.platform_result.unwrap_err()
    assert isinstance(error, SettingsInvalid) and error.kind == "settings_invalid", error
    assert field in error.message and f"Set {field} to" in error.remedy, error
    assert "gateway.settings.template" in error.remedy


@then("the platform folder's settings can be used")
def can_be_used(context):
    assert context.platform_result.unwrap().node == "n7"


def configuration():
    route = {
        "name": "r",
        "host": "a.example",
        wire("pathPrefix"): "/x/",
        "kind": "unsafe",
        wire("timeout"): 1500,
        wire("aim"): 300,
        wire("maxAttempts"): 2,
        "priority": 1,
    }
    split = [{"service": "s", "weight": 3}, {"service": "k", "weight": 1}]
    plain = {**route, "name": "q", "service": "k", "kind": "safe"}
    del plain[wire("aim")]
    service = {wire("healthPath"): "/up", wire("maxConns"): 9}
    return {
        "version": 17,
        "routes": [{**route, wire("trafficSplit"): split}, plain],
        "services": [
            {"name": "s", **service},
            {"name": "k", "sharded": True, wire("warm"): 1.5, **service},
        ],
        "limits": {
            wire("maxHeaderBytes"): 1000,
            wire("maxBodyBytes"): 2000,
            wire("headerTimeout"): 3000,
            wire("idleTimeout"): 4000,
        },
    }


@then("the platform folder reads routes, services and limits of a configuration")
def read_whole(context):
    got = read_configuration(json.dumps(configuration()).encode()).unwrap()
    split, plain = got.routes
    assert got.version == 17
    assert split.services == (WeightedService("s", 3), WeightedService("k", 1))
    assert plain.services == (WeightedService("k", 1),)
    assert (split.host, split.path_prefix) == ("a.example", "/x/")
    assert (split.is_repeatable, plain.is_repeatable) == (False, True)
    assert (split.timeout_s, split.aim_s, plain.aim_s) == (1.5, 0.3, 1.5)
    assert (split.max_attempts, split.priority) == (2, 1)
    assert [each.name for each in got.keyed_services()] == ["k"]
    service = got.services["k"]
    assert (service.health_path, service.max_connections, service.warm_up_s) == ("/up", 9, 1.5)
    limits = got.limits
    assert (limits.max_header_bytes, limits.max_body_bytes) == (1000, 2000)
    assert (limits.header_timeout_s, limits.idle_timeout_s) == (3.0, 4.0)


@then("the platform folder refuses each unreadable configuration with a remedy")
def refuse(context):
    documents = [b"", b"\xff", b"[]", b"null", b'{"version": 1}', b"[" * 60_000]
    documents.append(json.dumps(configuration()).replace("17", "1e999").encode())
    for name in ("version", "routes", "services"):
        whole = configuration()
        del whole[name]
        documents.append(json.dumps(whole).encode())
    for value in documents:
        error = read_configuration(value).unwrap_err()
        assert isinstance(error, ConfigurationInvalid), value
        assert error.message and "last valid one stays" in error.remedy


@then("the platform folder reads a server entry, and passes over unreadable ones")
def read_server(context):
    entry = {
        "service": "s",
        "address": "10.0.0.9:8080",
        "zone": "z1",
        "version": "v3",
        "slots": 7,
        "state": "draining",
        wire("warmupLeft"): 2500,
        "seq": 4,
    }

    def read(value):
        return read_server_entry(Row("servers", "", "i-1", value, at(12)))

    got = read(json.dumps(entry).encode()).unwrap()
    assert (got.server_id, got.service, got.version) == ("i-1", "s", at(12))
    assert (got.address, got.zone) == (Address("10.0.0.9", 8080), "z1")
    assert (got.slots, got.is_draining, got.warm_up_left_s) == (7, True, 2.5)
    ready = read(json.dumps({**entry, "state": "ready"}).encode()).unwrap()
    assert not ready.is_draining
    for value in (b"", b"[]", b"7", b'{"service": "s"}', b'{"service": "s", "address": "x"}'):
        error = read(value).unwrap_err()
        assert "i-1" in error.message and error.remedy, value
