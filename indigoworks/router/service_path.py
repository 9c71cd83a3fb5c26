"""Parses the path of a caller's request."""

import re
from dataclasses import dataclass
from urllib.parse import unquote, unquote_to_bytes

_PATH = re.compile(r"^/v1(?:/([^/?]*))?(?:/([^/?]*))?")


@dataclass(frozen=True)
class ServicePath:
    """Service and key of a path /v1/SERVICE/KEY[/REST][?QUERY]; either may be empty."""

    service: str
    key: bytes


def parse_service_path(path: str) -> ServicePath:
    """Return service and key of `path`; the key is percent-decoded to bytes."""
    match = _PATH.match(path)
    service, key = match.groups("") if match is not None else ("", "")
    return ServicePath(unquote(service), unquote_to_bytes(key))
