"""Parsing of the path and query of an administration request."""

from collections.abc import Collection
from dataclasses import dataclass
from urllib.parse import parse_qsl, unquote, urlsplit

from result import Err, Ok, Result

from indigoworks.admin.errors import AdminError, BadAdminRequest


@dataclass(frozen=True)
class AdminQuery:
    """The parameters of a request, as bytes because a key may be any bytes."""

    values: dict[str, bytes]

    def text(self, name: str) -> str | None:
        """Return a parameter as text, or None where it is absent or empty."""
        value = self.values.get(name)
        return value.decode("utf-8", "replace") if value else None

    def content(self, name: str) -> bytes | None:
        """Return a parameter as bytes, or None where it is absent or empty."""
        return self.values.get(name) or None


def split_path(path: str) -> tuple[list[str], str]:
    """Return the decoded segments of the path, without `/admin/v1`, and the raw query."""
    parts = urlsplit(path)
    segments = [unquote(each) for each in parts.path.split("/") if each]
    return segments[2:] if segments[:2] == ["admin", "v1"] else segments, parts.query


def parse_query(query: str, allowed: Collection[str]) -> Result[AdminQuery, AdminError]:
    """Return the parameters; BadAdminRequest for an unknown or repeated one."""
    values: dict[str, bytes] = {}
    for name, value in parse_qsl(query, keep_blank_values=True, encoding="latin-1"):
        if name not in allowed:
            known = ", ".join(sorted(allowed)) or "none"
            return Err(
                BadAdminRequest(
                    f"Unknown parameter {name!r}.", f"Parameters of this path: {known}."
                )
            )
        if name in values:
            return Err(BadAdminRequest(f"Parameter {name!r} is given twice.", "Give it once."))
        # Latin-1 maps percent-encoded bytes one to one; characters outside it were sent unencoded.
        values[name] = value.encode("latin-1", "replace")
    return Ok(AdminQuery(values))
