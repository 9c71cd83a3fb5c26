"""Routing of administration requests to typed operations."""

from collections.abc import Awaitable, Callable

from result import Err, Result

from indigoworks.admin.admin_call import AdminCall
from indigoworks.admin.admin_query import AdminQuery, parse_query, split_path
from indigoworks.admin.admin_response import AdminResponse
from indigoworks.admin.bodies.body import Body
from indigoworks.admin.control_plane import ControlPlane
from indigoworks.admin.error_response import error_response
from indigoworks.admin.errors import AdminError, MethodNotAllowed, UnknownNode
from indigoworks.admin.ownership_operations import OwnershipOperations
from indigoworks.admin.route import Route
from indigoworks.admin.settings_operations import SettingsOperations

Outcome = Result[Body, AdminError]
NamedOperation = Callable[[str], Awaitable[Result[Body, AdminError]]]


class AdminOperations:
    """Serves the administration requests of one control group at this process.

    :param settings: None: this process serves no operations on the settings tree.
    """

    def __init__(
        self, ownership: OwnershipOperations, settings: SettingsOperations | None = None
    ) -> None:
        self._routes = ownership.routes()
        if settings is not None:
            self._routes |= settings.routes()
        self._settings = settings
        self._ownership = ownership

    async def handle(self, call: AdminCall) -> AdminResponse:
        """Run the operation of `call`; see docs/API.md for paths and bodies."""
        outcome = await self._outcome(call)
        if isinstance(outcome, Err):
            return error_response(outcome.unwrap_err())
        return AdminResponse(200, outcome.unwrap().model_dump_json().encode("utf-8"))

    async def _outcome(self, call: AdminCall) -> Outcome:
        segments, query_text = split_path(call.path)
        methods = self._methods(segments)
        if methods is None:
            return Err(self._unknown_path(call.path))
        route = methods.get(call.method)
        if route is None:
            allowed = " or ".join(sorted(methods))
            return Err(MethodNotAllowed(f"{call.method} is not allowed there.", f"Use {allowed}."))
        query = parse_query(query_text, route.parameters)
        if isinstance(query, Err):
            return query
        return await route.operation(query.unwrap(), call.body)

    def _methods(self, segments: list[str]) -> dict[str, Route] | None:
        match segments:
            case ["settings", "changes", change_id] if self._settings is not None:
                return {"GET": _named(self._settings.progress, change_id)}
            case ["servers", server, "drain"]:
                return {"POST": _named(self._ownership.drain, server)}
        return self._routes.get(tuple(segments))

    def _unknown_path(self, path: str) -> UnknownNode:
        known = ", ".join("/".join(each) for each in sorted(self._routes))
        changes = "" if self._settings is None else "settings/changes/ID, "
        return UnknownNode(
            f"The administration API has no path {path.partition('?')[0]!r} at this process.",
            f"Under /admin/v1 there are: {known}, {changes}servers/NAME/drain.",
        )


def _named(operation: NamedOperation, name: str) -> Route:
    async def with_name(_query: AdminQuery, _body: bytes) -> Outcome:
        return await operation(name)

    return Route(with_name)


def all_operations(plane: ControlPlane) -> AdminOperations:
    """Return all operations, including those on the settings tree."""
    return AdminOperations(OwnershipOperations(plane), SettingsOperations(plane))
