"""Headers between simulated callers, gateways and machines."""

from indigoworks.gateway.header_names import HeaderNames

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
