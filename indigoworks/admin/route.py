"""Route of the administration API: an operation and its query parameters."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from result import Result

from indigoworks.admin.admin_query import AdminQuery
from indigoworks.admin.bodies.body import Body
from indigoworks.admin.errors import AdminError

Operation = Callable[[AdminQuery, bytes], Awaitable[Result[Body, AdminError]]]


@dataclass(frozen=True)
class Route:
    """An operation and the query parameters that it accepts."""

    operation: Operation
    parameters: tuple[str, ...] = ()
