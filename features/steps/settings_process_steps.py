"""Steps on the settings of a process and its logs."""

import io
import json
import logging
import tempfile
from pathlib import Path
from types import SimpleNamespace

import yaml
from behave import given, then, when
from eliot import Logger, add_destinations, log_message, remove_destination
from tornado.web import Application

from indigoworks.common.logging import set_up_logging
from indigoworks.common.logging.access_records import ACCESS_LOGGER, demote_to_debug
from indigoworks.settings import ControllerSettings, RouterSettings, load_process_settings

SAMPLES = Path(__file__).parents[2] / "etc"
FLAGS = {
    "name": "router-a",
    "zone": "zone-a",
    "host": "10.0.0.9",
    "control_port": 7301,
    "http_port": 8001,
    "platform_url": "http://10.0.0.1:7000",
    "controllers": "10.0.0.2:7101",
}


def load(context, flags, path=None):
    context.loaded = load_process_settings(RouterSettings, path, flags)


@when('process settings are loaded with the flag "{flag}" as "{value}"')
def load_with_flag(context, flag, value):
    load(context, {**FLAGS, flag: value})


@when('process settings are loaded without the flag "{flag}"')
def load_without_flag(context, flag):
    load(context, {**FLAGS, flag: None})


@when('process settings are loaded from the file "{path}"')
def load_from_file(context, path):
    load(context, {}, path)


@given('a process settings file with the zone "{zone}" and the http port {port:d}')
def settings_file(context, zone, port):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.path = Path(directory.name) / "router.yaml"
    fields = {**FLAGS, "zone": zone, "http_port": port, "controllers": ["10.0.0.2:7101"]}
    context.path.write_text(yaml.safe_dump(fields))


@when('process settings are loaded from that file with the flag "{flag}" as "{value}"')
def load_file_and_flag(context, flag, value):
    load(context, {flag: value}, str(context.path))


@then('the process settings are refused naming "{text}"')
def process_refused(context, text):
    error = context.loaded.unwrap_err()
    assert text in str(error), str(error)
    assert error.remedy, error


@then('the process settings have the zone "{zone}" and the http address "{address}"')
def have_zone(context, zone, address):
    loaded = context.loaded.unwrap()
    assert (loaded.zone, str(loaded.http_address)) == (zone, address), loaded


@then('the process settings listen for the control port at "{listen_host}" and tell "{host}"')
def listen_elsewhere(context, listen_host, host):
    loaded = context.loaded.unwrap()
    assert (loaded.control_address.host, loaded.host) == (listen_host, host), loaded


@then('the process settings name the controllers "{first}" and "{second}"')
def name_controllers(context, first, second):
    addresses = [
        f"{each.host} {each.port}" for each in context.loaded.unwrap().controller_addresses
    ]
    assert addresses == [first, second], addresses


@when('the process settings sample "{file}" is loaded as a {model}')
def load_sample(context, file, model):
    models = {"controller": ControllerSettings, "router": RouterSettings}
    context.loaded = load_process_settings(models[model], str(SAMPLES / file), {})


@then('the process settings are accepted with the name "{name}"')
def accepted_with_name(context, name):
    assert context.loaded.unwrap().name == name


def set_up_log(context, level):
    """Set logs up as a process does, and undo it after the scenario."""
    # eliot keeps messages for the first destination: they must not come into this log.
    add_destinations(lambda message: None)
    root = logging.getLogger()
    former = (root.handlers, root.level, list(Logger._destinations._destinations))
    context.log = io.StringIO()
    set_up_logging(level, "settings-test", context.log)

    def restore():
        root.handlers, root.level = former[0], former[1]
        access = logging.getLogger(ACCESS_LOGGER)
        access.removeFilter(demote_to_debug)
        access.setLevel(logging.NOTSET)
        for each in list(Logger._destinations._destinations):
            if each not in former[2]:
                remove_destination(each)

    context.add_cleanup(restore)


@when('a log message of level "{level}" is written under the level "{threshold}"')
def write_message(context, level, threshold):
    set_up_log(context, threshold)
    fields = {} if level == "none" else {"level": level}
    log_message(message_type="test:message", **fields)


@when('a standard library warning is logged under the level "{threshold}"')
def write_record(context, threshold):
    set_up_log(context, threshold)
    logging.getLogger("tornado.application").warning("slow")


@when('an HTTP answer of status {status:d} is logged under the level "{threshold}"')
def write_answer(context, status, threshold):
    set_up_log(context, threshold)
    request = SimpleNamespace(request_time=lambda: 0.001)
    handler = SimpleNamespace(
        get_status=lambda: status, request=request, _request_summary=lambda: "GET /v1/s/k"
    )
    Application().log_request(handler)


@then("the log has {count:d} lines")
def log_has_lines(context, count):
    context.lines = context.log.getvalue().splitlines()
    assert len(context.lines) == count, context.lines


@then('the log line has the level "{level}"')
def line_has_level(context, level):
    assert json.loads(context.lines[0])["log_level"] == level, context.lines


@then('each log line is JSON with the process "{name}"')
def log_is_json(context, name):
    assert all(json.loads(each)["process"] == name for each in context.lines), context.lines
