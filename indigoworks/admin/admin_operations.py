"""Routing of administration requests to typed operations."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from result import Err, Result

from indigoworks.admin.admin_answer import AdminAnswer
from indigoworks.admin.admin_call import AdminCall
from indigoworks.admin.admin_query import AdminQuery, parse_query, split_path
from indigoworks.admin.bodies.body import Body
from indigoworks.admin.control_plane import ControlPlane
from indigoworks.admin.error_answer import error_answer
from indigoworks.admin.errors import AdminError, MethodNotAllowed, UnknownNode
from indigoworks.admin.ownership_operations import OwnershipOperations
from indigoworks.admin.settings_operations import SettingsOperations

Outcome = Result[Body, AdminError]
Operation = Callable[[AdminQuery, bytes], Awaitable[Result[Body, AdminError]]]
NamedOperation = Callable[[str], Awaitable[Result[Body, AdminError]]]


@dataclass(frozen=True)
class Route:
    """An operation and the parameters that it takes."""

    operation: Operation
    parameters: tuple[str, ...] = ()


class AdminOperations:
    """Administration of one control group, answered by a ControlPlane of this process."""

    def __init__(self, plane: ControlPlane) -> None:
        settings = SettingsOperations(plane)
        ownership = OwnershipOperations(plane, settings)
        self._routes: dict[tuple[str, ...], dict[str, Route]] = {
            ("settings",): {
                "GET": Route(settings.show),
                "PUT": Route(settings.change, ("expected_version",)),
            },
            ("settings", "resolved"): {
                "GET": Route(settings.resolved, ("service", "group", "key"))
            },
            ("owners",): {"GET": Route(ownership.owners, ("service", "key"))},
            ("servers",): {"GET": Route(ownership.servers)},
            ("members",): {"GET": Route(ownership.members)},
            ("routers",): {"GET": Route(ownership.routers)},
            ("health",): {"GET": Route(ownership.health)},
        }
        self._settings = settings
        self._ownership = ownership

    async def handle(self, call: AdminCall) -> AdminAnswer:
        """Answer `call`; see docs/API.md for paths and bodies."""
        outcome = await self._outcome(call)
        if isinstance(outcome, Err):
            return error_answer(outcome.unwrap_err())
        return AdminAnswer(200, outcome.unwrap().model_dump_json().encode("utf-8"))

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
            case ["settings", "changes", change_id]:
                return {"GET": _named(self._settings.progress, change_id)}
            case ["servers", server, "drain"]:
                return {"POST": _named(self._ownership.drain, server)}
        return self._routes.get(tuple(segments))

    def _unknown_path(self, path: str) -> UnknownNode:
        known = ", ".join("/".join(each) for each in sorted(self._routes))
        return UnknownNode(
            f"The administration API has no path {path.partition('?')[0]!r}.",
            f"Under /admin/v1 there are: {known}, settings/changes/ID, servers/NAME/drain.",
        )


def _named(operation: NamedOperation, name: str) -> Route:
    async def with_name(_query: AdminQuery, _body: bytes) -> Outcome:
        return await operation(name)

    return Route(with_name)
