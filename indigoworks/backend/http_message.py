"""A request to a back end as an HTTP message."""

from dataclasses import dataclass


@dataclass(frozen=True)
class HttpMessage:
    """Method, path with query, headers and whole body; Host and Content-Length are added."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
