"""Which headers travel end to end."""

from collections.abc import Iterable

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Lower-case names that belong to one connection or that each hop writes anew."""


def end_to_end_headers(headers: Iterable[tuple[str, str]]) -> tuple[tuple[str, str], ...]:
    """Return `headers` without those of one hop, and without those that `Connection` names."""
    pairs = tuple(headers)
    dropped = HOP_BY_HOP_HEADERS | _named_by_connection(pairs)
    return tuple(pair for pair in pairs if pair[0].lower() not in dropped)


def _named_by_connection(pairs: tuple[tuple[str, str], ...]) -> frozenset[str]:
    values = [value for name, value in pairs if name.lower() == "connection"]
    names = [name.strip().lower() for value in values for name in value.split(",")]
    return frozenset(names)
