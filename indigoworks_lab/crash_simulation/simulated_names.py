"""Headers between simulated callers, gateways and machines."""

from collections.abc import Mapping

from indigoworks.gateway.header_names import HeaderNames
from indigoworks.servers.server_notice import NOTHING_ASKED, ServerNotice

NAMES = HeaderNames(
    request_id="Try-Id",
    deadline_ms="Left-Ms",
    server_id="Meant-Server",
    answering_server_id="Answering-Server",
    not_run="Not-Run",
    key="Key-Number",
    handover="Handover",
    signature="Signature",
)

CALLER_HEADER = "Simulated-Caller"
"""Tells a machine whose request it runs, for the record of the run."""

SENT_HEADER = "Sent-At"
"""Clock reading at which a caller sent its request, for the record of what arrives."""

REST_HEADER = "Rest-Seconds"
LEAVING_HEADER = "Leaving"
LIMIT_HEADER = "Limit"
"""In which a machine asks for rest, says that it leaves, and names a limit."""


def read_simulated_notice(status: int, headers: Mapping[str, str]) -> ServerNotice:
    """Read what a machine asks for in the head of an answer."""
    if not any(each in headers for each in (REST_HEADER, LEAVING_HEADER, LIMIT_HEADER)):
        return NOTHING_ASKED
    limit = headers.get(LIMIT_HEADER)
    return ServerNotice(
        rest_s=float(headers.get(REST_HEADER, "0")),
        is_leaving=LEAVING_HEADER in headers,
        limit_per_s=None if limit is None else float(limit),
    )
