"""The commands `indigoworks settings ...`."""

import re
from random import Random, SystemRandom

from indigoworks.cli.errors import Misuse
from indigoworks.cli.flag_values import first_error, optional_number, optional_text, required_text
from indigoworks.cli.node_command import query_node
from indigoworks.cli.pending_command import PendingCommand, refuse
from indigoworks.cli.settings_actions import (
    apply_file,
    new_change_id,
    read_progress,
    resolve_settings,
    show_settings,
    validate_file,
)

_CHANGE_ID = re.compile(r"^[A-Za-z0-9._-]{1,64}$")


class SettingsCommands:
    """Check, read and change the settings tree."""

    def validate(self, file: str) -> PendingCommand:
        """Check a settings tree without contacting the system.

        Args:
            file: YAML or JSON file with the whole tree.
        """
        error = first_error(required_text("FILE", file))
        return refuse(error) if error else PendingCommand(lambda: validate_file(file))

    def show(self, *, node: str | None = None) -> PendingCommand:
        """Print the tree in force with its version.

        Args:
            node: http://IP:PORT of any router or controller; default: INDIGOWORKS_NODE.
        """
        return query_node(node, show_settings)

    def apply(
        self,
        file: str,
        *,
        expected_version: str | None = None,
        change_id: str | None = None,
        node: str | None = None,
    ) -> PendingCommand:
        """Put a new tree in force; print its version and how many routers have it.

        The tree is refused, with the difference, if the version in force is not the expected
        one: another operator changed it first.

        Args:
            file: YAML or JSON file with the whole tree.
            expected_version: version that the file is based on; default: the one in force.
            change_id: id that makes retries take effect at most once; default: a new one.
            node: http://IP:PORT of any router or controller; default: INDIGOWORKS_NODE.
        """
        version = optional_number("--expected-version", expected_version)
        given_id = optional_text("--change-id", change_id)
        error = first_error(required_text("FILE", file), version, given_id)
        if error is not None:
            return refuse(error)
        name = given_id.unwrap() or new_change_id(Random(SystemRandom().getrandbits(64)))
        if not _CHANGE_ID.match(name):
            return _bad_change_id(name)
        return query_node(node, lambda client: apply_file(client, file, version.unwrap(), name))

    def resolve(
        self,
        service: str,
        *,
        group: str | None = None,
        key: str | None = None,
        node: str | None = None,
    ) -> PendingCommand:
        """Print the settings in force for a service, group and key, and the level of each.

        Args:
            service: name of the service.
            group: group of the caller; default: the group `default`.
            key: key, as text; default: no key.
            node: http://IP:PORT of any router or controller; default: INDIGOWORKS_NODE.
        """
        error = first_error(
            required_text("SERVICE", service),
            optional_text("--group", group),
            optional_text("--key", key),
        )
        if error is not None:
            return refuse(error)
        return query_node(node, lambda client: resolve_settings(client, service, group, key))

    def progress(self, change_id: str, *, node: str | None = None) -> PendingCommand:
        """Print how many routers have an accepted change in force.

        Args:
            change_id: id printed by `settings apply` or given to it.
            node: http://IP:PORT of any router or controller; default: INDIGOWORKS_NODE.
        """
        if not _CHANGE_ID.match(str(change_id)):
            return _bad_change_id(str(change_id))
        return query_node(node, lambda client: read_progress(client, change_id))


def _bad_change_id(name: str) -> PendingCommand:
    return refuse(
        Misuse(
            f"The change id {name!r} is malformed.",
            "Use 1 to 64 letters, digits, dots, underscores or hyphens.",
        )
    )
