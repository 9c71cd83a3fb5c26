"""HTTP request to a back end."""

from dataclasses import dataclass


@dataclass(frozen=True)
class HttpMessage:
    """Method, path with query, headers and complete body; Host and Content-Length are added."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
