"""Operations of the administration API on the settings tree."""

import json

from pydantic import ValidationError
from result import Err, Ok, Result

from indigoworks.admin.admin_query import AdminQuery
from indigoworks.admin.bodies.change_progress_body import ChangeProgressBody
from indigoworks.admin.bodies.resolved_body import ResolvedBody
from indigoworks.admin.bodies.resolved_value_body import ResolvedValueBody
from indigoworks.admin.bodies.settings_body import SettingsBody
from indigoworks.admin.bodies.settings_change_body import SettingsChangeBody
from indigoworks.admin.change_progress import ChangeProgress
from indigoworks.admin.control_plane import ControlPlane
from indigoworks.admin.errors import AdminError, BadAdminRequest, InvalidSettings
from indigoworks.admin.route import Route
from indigoworks.admin.settings_change import SettingsChange
from indigoworks.admin.unknown_names import unknown_service
from indigoworks.settings.document import read_document
from indigoworks.settings.errors import InvalidSettings as InvalidSettingsDocument
from indigoworks.settings.parse_tree import canonical_json, parse_tree
from indigoworks.settings.problem_texts import problems_of
from indigoworks.settings.setting_origin import SettingOrigin
from indigoworks.settings.settings_resolver import SettingsResolver
from indigoworks.settings.settings_tree import SettingsTree

SUBJECT = "settings change"


class SettingsOperations:
    """Reads and changes the tree through a ControlPlane."""

    def __init__(self, plane: ControlPlane) -> None:
        self._plane = plane

    def routes(self) -> dict[tuple[str, ...], dict[str, Route]]:
        """Return the operations with a fixed path, by path and method."""
        return {
            ("settings",): {
                "GET": Route(self.show),
                "PUT": Route(self.change, ("expected_version",)),
            },
            ("settings", "resolved"): {"GET": Route(self.resolved, ("service", "group", "key"))},
        }

    async def show(self, _query: AdminQuery, _body: bytes) -> Result[SettingsBody, AdminError]:
        """Return the tree in force."""
        state = self._plane.state()
        tree = json.loads(state.settings_tree) if state.settings_tree else None
        return Ok(
            SettingsBody(
                version=state.settings_version, change_id=state.settings_change_id, tree=tree
            )
        )

    async def resolved(self, query: AdminQuery, _body: bytes) -> Result[ResolvedBody, AdminError]:
        """Return the settings of a service, group and key with the levels that set them."""
        service = query.text("service")
        if service is None:
            return Err(BadAdminRequest("Parameter 'service' is missing.", "Give ?service=NAME."))
        group, key = query.text("group"), query.content("key")
        origins = SettingsResolver(self.tree()).explain(service, group, key)
        if origins is None:
            return Err(unknown_service(service, self.tree().services))
        return Ok(
            ResolvedBody(
                version=self._plane.state().settings_version,
                service=service,
                group=group or "",
                key=(key or b"").decode("utf-8", "backslashreplace"),
                values=[_value_body(each) for each in origins],
            )
        )

    async def change(
        self, query: AdminQuery, body: bytes
    ) -> Result[ChangeProgressBody, AdminError]:
        """Validate a new tree and put it in force."""
        change = _parse_change(query, body)
        if isinstance(change, Err):
            return change
        accepted = await self._plane.change_settings(change.unwrap())
        if isinstance(accepted, Err):
            return accepted
        progress = await self._plane.change_progress(accepted.unwrap().change_id)
        if isinstance(progress, Ok):
            return Ok(_progress_body(progress.unwrap()))
        # The change is accepted even if its progress is unknown: return its version and no routers.
        version = accepted.unwrap().version
        return Ok(_progress_body(ChangeProgress(accepted.unwrap().change_id, version, 0, 0, False)))

    async def progress(self, change_id: str) -> Result[ChangeProgressBody, AdminError]:
        """Return how many routers have a change in force."""
        progress = await self._plane.change_progress(change_id)
        return progress.map(_progress_body)

    def tree(self) -> SettingsTree:
        """Return the tree in force, or an empty one if none has been accepted."""
        content = self._plane.state().settings_tree
        return SettingsTree.model_validate_json(content) if content else SettingsTree()


def _parse_change(query: AdminQuery, body: bytes) -> Result[SettingsChange, AdminError]:
    document = read_document(body, SUBJECT)
    if isinstance(document, Err):
        return Err(_bad_request(document.unwrap_err()))
    try:
        fields = SettingsChangeBody.model_validate(document.unwrap())
    except ValidationError as error:
        problems = problems_of(SettingsChangeBody, error)
        return Err(_bad_request(InvalidSettingsDocument.from_problems(SUBJECT, problems)))
    version = _expected_version(query, fields)
    if isinstance(version, Err):
        return version
    tree = _validated_tree(fields)
    if isinstance(tree, Err):
        return tree
    content = canonical_json(tree.unwrap())
    return Ok(SettingsChange(fields.change_id, version.unwrap(), content))


def _bad_request(error: InvalidSettingsDocument) -> BadAdminRequest:
    return BadAdminRequest(error.message, error.remedy)


def _validated_tree(fields: SettingsChangeBody) -> Result[SettingsTree, AdminError]:
    # YAML values such as dates have no JSON form; as text they fail the type check of the field.
    content = json.dumps(fields.tree, default=str).encode("utf-8")
    return parse_tree(content).map_err(InvalidSettings.from_document)


def _expected_version(query: AdminQuery, fields: SettingsChangeBody) -> Result[int, AdminError]:
    text = query.text("expected_version")
    if text is not None and not text.isdecimal():
        return Err(
            BadAdminRequest(
                f"Expected version {text!r} is not a number.", "Give the version that you read."
            )
        )
    given = {each for each in (int(text) if text else None, fields.expected_version)} - {None}
    if len(given) == 1:
        return Ok(next(each for each in given if each is not None))
    message = "Two expected versions differ." if given else "The expected version is missing."
    remedy = "Send the version that you read, as If-Match or as expected_version; 0 for the first."
    return Err(BadAdminRequest(message, remedy))


def _progress_body(progress: ChangeProgress) -> ChangeProgressBody:
    return ChangeProgressBody(
        change_id=progress.change_id,
        version=progress.version,
        routers_total=progress.routers_total,
        routers_in_force=progress.routers_in_force,
        is_everywhere=progress.is_everywhere,
    )


def _value_body(origin: SettingOrigin) -> ResolvedValueBody:
    value = list(origin.value) if isinstance(origin.value, tuple) else origin.value
    return ResolvedValueBody(name=origin.name, value=value, level=origin.level)
