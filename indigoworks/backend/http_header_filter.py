"""Filters hop-by-hop headers."""

from collections.abc import Iterable

Headers = tuple[tuple[str, str], ...]

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
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
"""Lower-case names of headers that apply to one connection only; the length is set again, as bodies
are read completely."""

HOST = "host"


def without_hop_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return `headers` without hop-by-hop ones, and without those that `Connection` names."""
    kept: list[tuple[str, str]] = []
    named: set[str] = set()
    for pair in headers:
        name = pair[0].lower()
        if name == "connection":
            named.update(each.strip().lower() for each in pair[1].split(","))
        elif name not in HOP_BY_HOP_HEADERS:
            kept.append(pair)
    return tuple(pair for pair in kept if pair[0].lower() not in named) if named else tuple(kept)


def end_to_end_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return `headers` without hop-by-hop ones and without `Host`, which is set again."""
    return tuple(pair for pair in without_hop_headers(headers) if pair[0].lower() != HOST)
