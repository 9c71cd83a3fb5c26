"""Headers that concern one connection only."""

from tornado.httputil import HTTPHeaders

HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
"""Never passed on; the length is set anew, since bodies are read whole."""


def travelling(headers: HTTPHeaders) -> tuple[tuple[str, str], ...]:
    """Return the headers that travel on to the other side."""
    named = {each.strip().lower() for each in headers.get("Connection", "").split(",")}
    return tuple(
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in HOP_HEADERS and name.lower() not in named
    )
