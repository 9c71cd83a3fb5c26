"""Errors that the administration API returns."""

from dataclasses import dataclass
from typing import ClassVar

from indigoworks.admin.settings_difference import SettingsDifference
from indigoworks.common.errors import IndigoworksError
from indigoworks.settings.errors import InvalidSettings as InvalidSettingsDocument
from indigoworks.settings.settings_problem import SettingsProblem


@dataclass(frozen=True)
class AdminError(IndigoworksError):
    """Base of the errors of the administration API.

    :cvar http_status: status of the response.
    """

    kind: ClassVar[str] = "admin"
    http_status: ClassVar[int] = 500


@dataclass(frozen=True)
class BadAdminRequest(AdminError):
    """The request cannot be read: parameters or body are missing or malformed."""

    kind: ClassVar[str] = "bad_request"
    http_status: ClassVar[int] = 400


@dataclass(frozen=True)
class UnknownNode(AdminError):
    """No service, server, change or API path has that name."""

    kind: ClassVar[str] = "unknown_node"
    http_status: ClassVar[int] = 404


@dataclass(frozen=True)
class UnknownService(UnknownNode):
    """The settings tree has no such service."""

    kind: ClassVar[str] = "unknown_service"


@dataclass(frozen=True)
class UnknownServer(UnknownNode):
    """No back end of that name is registered."""

    kind: ClassVar[str] = "unknown_server"


@dataclass(frozen=True)
class UnknownChange(UnknownNode):
    """No accepted change with that id is known.

    It was refused, is not in the log (yet), or is older than the recent changes that are kept.
    """

    kind: ClassVar[str] = "unknown_change"


@dataclass(frozen=True)
class MethodNotAllowed(AdminError):
    """The path exists but does not support that method."""

    kind: ClassVar[str] = "method_not_allowed"
    http_status: ClassVar[int] = 405


@dataclass(frozen=True)
class SettingsConflict(AdminError):
    """Another change was accepted first; nothing took effect.

    :ivar current_version: version of the tree in force.
    :ivar difference: what the refused tree would change in the tree in force.
    """

    current_version: int = 0
    difference: tuple[SettingsDifference, ...] = ()

    kind: ClassVar[str] = "settings_conflict"
    http_status: ClassVar[int] = 409


@dataclass(frozen=True)
class ChangeIdReused(AdminError):
    """The change id belongs to the version in force, whose tree differs; nothing took effect.

    A reused id of an older version is not detected, as only the tree in force can be compared.
    """

    kind: ClassVar[str] = "change_id_reused"
    http_status: ClassVar[int] = 409


@dataclass(frozen=True)
class InvalidSettings(AdminError):
    """Validation of the tree failed; nothing took effect.

    :ivar problems: all problems that were found.
    """

    problems: tuple[SettingsProblem, ...] = ()

    kind: ClassVar[str] = "invalid_settings"
    http_status: ClassVar[int] = 422

    @classmethod
    def from_document(cls, error: InvalidSettingsDocument) -> "InvalidSettings":
        """Return the API's form of an error of `parse_tree`."""
        return cls(error.message, error.remedy, problems=error.problems)


@dataclass(frozen=True)
class SettingsStoreUnavailable(AdminError):
    """The platform's table service cannot store the change now; nothing took effect."""

    kind: ClassVar[str] = "settings_store_unavailable"
    http_status: ClassVar[int] = 503


@dataclass(frozen=True)
class SettingsOutcomeUnknown(AdminError):
    """The change may have taken effect; query its progress to find out.

    :ivar change_id: id whose progress to query.
    """

    change_id: str = ""

    kind: ClassVar[str] = "settings_outcome_unknown"
    http_status: ClassVar[int] = 504


@dataclass(frozen=True)
class NotLeader(AdminError):
    """This node does not lead, and no leader is known or reachable; nothing took effect.

    Exception: a drain gets this error also if the leader lost its lease before the drain was
    confirmed; the drain may then have taken effect.
    """

    kind: ClassVar[str] = "not_leader"
    http_status: ClassVar[int] = 503


@dataclass(frozen=True)
class AdminOutcomeUnknown(AdminError):
    """The leader did not respond: the request may have taken effect."""

    kind: ClassVar[str] = "outcome_unknown"
    http_status: ClassVar[int] = 504
