"""A request to the administration API."""

from dataclasses import dataclass


@dataclass(frozen=True)
class AdminCall:
    """A request, independent of the transport.

    :ivar method: HTTP method, upper case.
    :ivar path: path, starting with `/admin/v1`, and query.
    :ivar body: JSON, or empty.
    """

    method: str
    path: str
    body: bytes = b""
