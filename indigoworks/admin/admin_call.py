"""A request to the administration API."""

from dataclasses import dataclass


@dataclass(frozen=True)
class AdminCall:
    """A request, independent of the transport.

    :ivar method: HTTP method, upper case.
    :ivar path: path and query, from `/admin/v1`.
    :ivar body: JSON, or empty.
    """

    method: str
    path: str
    body: bytes = b""
