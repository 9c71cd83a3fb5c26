"""Parts of a router process that processor time is charged to."""

from enum import StrEnum

FunctionKey = tuple[str, int, str]
"""File, line and name of a function, as the profiler gives them."""

BUILT_IN_FILE = "~"
"""File of the functions that are not written in Python."""

IDLE = ("select.epoll", "select.poll", "select.select")
"""Built-in functions in which the process waits."""

SYSTEM_CALLS = ("_socket.socket", "posix.", "'send'", "'recv", "'sendmsg'", "'accept")


class ProfilePart(StrEnum):
    """Where a function belongs. The order is that of the search: the first that fits counts."""

    IDLE = "waiting"
    SYSTEM = "system calls"
    OUR_ROUTER = "ours: request path"
    OUR_HTTP_SERVER = "ours: HTTP towards callers"
    OUR_HTTP_CLIENT = "ours: HTTP towards back ends"
    OUR_WIRE = "ours: internal protocol"
    OUR_OTHER = "ours: settings, clock, hashes, logs"
    TORNADO_WEB = "tornado: web framework"
    TORNADO_CODEC = "tornado: HTTP codec, both sides"
    TORNADO_STREAM = "tornado: streams and loop"
    ASYNCIO = "asyncio"
    ELIOT = "eliot"
    PROTOBUF = "protobuf"
    PROMETHEUS = "prometheus"
    OTHER = "rest of the standard library"


_FILES = (
    ("indigoworks/router/http_server", ProfilePart.OUR_HTTP_SERVER),
    ("indigoworks/router/service_handler", ProfilePart.OUR_HTTP_SERVER),
    ("indigoworks/router/service_path", ProfilePart.OUR_HTTP_SERVER),
    ("indigoworks/router/caller_headers", ProfilePart.OUR_HTTP_SERVER),
    ("indigoworks/router/forward", ProfilePart.OUR_WIRE),
    ("indigoworks/router/router_frames", ProfilePart.OUR_WIRE),
    ("indigoworks/wire/", ProfilePart.OUR_WIRE),
    ("indigoworks/router/", ProfilePart.OUR_ROUTER),
    ("indigoworks/backend/", ProfilePart.OUR_HTTP_CLIENT),
    ("/indigoworks/", ProfilePart.OUR_OTHER),
    ("tornado/http1connection", ProfilePart.TORNADO_CODEC),
    ("tornado/httputil", ProfilePart.TORNADO_CODEC),
    ("tornado/httpserver", ProfilePart.TORNADO_CODEC),
    ("tornado/web", ProfilePart.TORNADO_WEB),
    ("tornado/routing", ProfilePart.TORNADO_WEB),
    ("tornado/", ProfilePart.TORNADO_STREAM),
    ("asyncio/", ProfilePart.ASYNCIO),
    ("/selectors.py", ProfilePart.ASYNCIO),
    ("/eliot/", ProfilePart.ELIOT),
    ("google/protobuf", ProfilePart.PROTOBUF),
    ("_pb2", ProfilePart.PROTOBUF),
    ("prometheus_client", ProfilePart.PROMETHEUS),
)


def part_of(function: FunctionKey) -> ProfilePart:
    """Return the part that `function` belongs to; OTHER for built-in ones that work for any."""
    file, _, name = function
    if file == BUILT_IN_FILE:
        return _part_of_built_in(name)
    return next((part for text, part in _FILES if text in file), ProfilePart.OTHER)


def _part_of_built_in(name: str) -> ProfilePart:
    if any(text in name for text in IDLE):
        return ProfilePart.IDLE
    if any(text in name for text in SYSTEM_CALLS):
        return ProfilePart.SYSTEM
    return ProfilePart.OTHER
