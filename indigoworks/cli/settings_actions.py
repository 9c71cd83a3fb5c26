"""Actions of the commands `indigoworks settings ...`."""

from random import Random
from typing import Any

from result import Err, Ok, Result

from indigoworks.admin.bodies.change_progress_body import ChangeProgressBody
from indigoworks.admin.bodies.resolved_body import ResolvedBody
from indigoworks.admin.bodies.settings_body import SettingsBody
from indigoworks.admin.bodies.settings_change_body import SettingsChangeBody
from indigoworks.cli.admin_client import AdminClient
from indigoworks.cli.errors import CommandError, NodeAnswerLost, as_misuse
from indigoworks.cli.pending_command import Report
from indigoworks.cli.report import json_report
from indigoworks.common.errors import IndigoworksError
from indigoworks.settings.load_process_settings import read_file
from indigoworks.settings.parse_tree import parse_tree
from indigoworks.settings.settings_tree import SettingsTree

CHANGE_ID_BITS = 64
READ_BACK_ATTEMPTS = 3
READ_BACK_INTERVAL_S = 1.0
"""Pause between two queries, in which a stored change can reach the log and get its progress."""


def new_change_id(random: Random) -> str:
    """Return an id for a change, 16 hexadecimal digits."""
    return f"{random.getrandbits(CHANGE_ID_BITS):016x}"


def read_tree(path: str) -> Result[SettingsTree, IndigoworksError]:
    """Return the validated tree from the file at `path`."""
    content = read_file(path)
    if isinstance(content, Err):
        return Err(as_misuse(content.unwrap_err()))
    return parse_tree(content.unwrap())


def validate_file(path: str) -> Result[Report, IndigoworksError]:
    """Validate a tree locally."""
    return read_tree(path).map(lambda tree: json_report(_summary(path, tree)))


def show_settings(client: AdminClient) -> Result[Report, IndigoworksError]:
    """Return the tree in force as JSON."""
    return client.get("/settings", SettingsBody).map(json_report)


def resolve_settings(
    client: AdminClient, service: str, group: str | None, key: str | None
) -> Result[Report, IndigoworksError]:
    """Return the values in force for a service, group and key, with their levels."""
    query: dict[str, str | bytes] = {"service": service, "group": group or "", "key": key or ""}
    return client.get("/settings/resolved", ResolvedBody, query).map(json_report)


def read_progress(client: AdminClient, change_id: str) -> Result[Report, IndigoworksError]:
    """Return how many routers have a change in force."""
    return _progress(client, change_id).map(json_report)


def apply_file(
    client: AdminClient, path: str, expected_version: int | None, change_id: str
) -> Result[Report, IndigoworksError]:
    """Validate a tree locally, then request that the system put it in force.

    :param expected_version: version that the file is based on; None: the version in force now.
    """
    tree = read_tree(path)
    if isinstance(tree, Err):
        return tree
    version = _base_version(client, expected_version)
    if isinstance(version, Err):
        return version
    body = SettingsChangeBody(
        change_id=change_id,
        expected_version=version.unwrap(),
        tree=tree.unwrap().model_dump(mode="json", exclude_none=True),
    )
    accepted = client.put("/settings", body, ChangeProgressBody)
    if isinstance(accepted, Err) and isinstance(accepted.unwrap_err(), NodeAnswerLost):
        return _read_back(client, path, version.unwrap(), change_id)
    return accepted.map(json_report)


def _base_version(client: AdminClient, expected_version: int | None) -> Result[int, CommandError]:
    if expected_version is not None:
        return Ok(expected_version)
    return client.get("/settings", SettingsBody).map(lambda settings: settings.version)


def _read_back(
    client: AdminClient, path: str, version: int, change_id: str
) -> Result[Report, IndigoworksError]:
    """Query the progress after a lost response: only an accepted change has one."""
    for _ in range(READ_BACK_ATTEMPTS):
        progress = _progress(client, change_id)
        if isinstance(progress, Ok):
            return Ok(json_report(progress.unwrap()))
        client.pause(READ_BACK_INTERVAL_S)
    return Err(
        NodeAnswerLost(
            f"The response to change {change_id} is lost: the change may have taken effect.",
            f"Run `indigoworks settings progress {change_id}`, or retry it; it is applied at most "
            f"once: `indigoworks settings apply {path} --change-id {change_id} "
            f"--expected-version {version}`.",
        )
    )


def _progress(client: AdminClient, change_id: str) -> Result[ChangeProgressBody, CommandError]:
    return client.get(f"/settings/changes/{change_id}", ChangeProgressBody)


def _summary(path: str, tree: SettingsTree) -> dict[str, Any]:
    return {
        "file": path,
        "is_valid": True,
        "services": sorted(tree.services),
        "groups": sorted(tree.groups),
    }
