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
"""In which a machine asks for rest, and says that it leaves."""


def read_simulated_notice(status: int, headers: Mapping[str, str]) -> ServerNotice:
    """Read what a machine asks for in the head of an answer."""
    if REST_HEADER not in headers and LEAVING_HEADER not in headers:
        return NOTHING_ASKED
    return ServerNotice(float(headers.get(REST_HEADER, "0")), LEAVING_HEADER in headers)
