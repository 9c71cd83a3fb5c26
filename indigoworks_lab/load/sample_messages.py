"""One typical message of each kind that is sent all the time or in storms."""

from collections.abc import Callable, Mapping

from google.protobuf.message import Message

from indigoworks.backend.backend_status import BackendStatus
from indigoworks.backend.granted_range import GrantedRange
from indigoworks.backend.http_renewal_model import HttpRenewalModel
from indigoworks.backend.http_status_model import HttpStatusModel
from indigoworks.backend.lease_renewal import LeaseRenewal
from indigoworks.wire import control_pb2 as pb
from indigoworks.wire.frame_codec import encode_frame
from indigoworks_lab.load.sample_records import (
    CLOCK_S,
    GENERATION,
    LOG_INDEX,
    SERVICE,
    SETTINGS_BYTES,
    TOKEN,
    ZONE,
    sample_member,
    sample_range,
    sample_server,
    sample_state,
)

TERM = 12
BODY_BYTES = 512
HEADERS = 10
REQUEST_ID = "0123456789abcdef0123456789abcdef"
SLOPE_STEP = 100
"""Records in the larger of two messages from which a size per record is taken."""


def frame_sizes() -> Mapping[str, int]:
    """Return bytes on the wire, with the length prefix and without TCP, of typical frames."""
    frames = {**_log_frames(), **_view_frames(), **_request_frames()}
    return {name: _frame_bytes(payload) for name, payload in frames.items()}


def lease_sizes() -> Mapping[str, int]:
    """Return bytes of the JSON bodies of the lease protocol, without HTTP."""
    status = BackendStatus(
        name=sample_server(1).name,
        incarnation=sample_server(1).incarnation,
        service=SERVICE,
        zone=ZONE,
        slots=4,
        connections=130,
        clock_s=CLOCK_S,
        generation=GENERATION,
        grants_version=LOG_INDEX,
        released=(),
        is_draining=False,
    )
    status_text = HttpStatusModel.from_status(status).model_dump_json()
    return {
        "lease renewal, ranges unchanged": len(_renewal_text(None)),
        "lease renewal, 4 ranges": len(_renewal_text(4)),
        "lease status": len(status_text),
    }


def record_sizes() -> Mapping[str, int]:
    """Return bytes that one more record adds to a message that holds many."""
    return {
        "range in a snapshot": _slope(lambda n: sample_state(n, 0)),
        "server in a snapshot": _slope(lambda n: sample_state(0, n)),
        "router in a view reply": _slope(_routers_reply),
        "router in a router report": _slope(_router_report),
        "log entry that moves one range": _slope(_follow_reply),
        "range in a lease renewal": (len(_renewal_text(SLOPE_STEP)) - len(_renewal_text(0)))
        // SLOPE_STEP,
    }


def _log_frames() -> dict[str, pb.Frame]:
    request = pb.FollowRequest(
        member=sample_member(2),
        leader_incarnation=sample_member(1).incarnation,
        generation=GENERATION,
        known_index=LOG_INDEX,
    )
    return {
        "follow request": pb.Frame(follow_request=request),
        "follow reply, no entry": pb.Frame(follow_reply=_follow_reply(0)),
        "follow reply, one range moved": pb.Frame(follow_reply=_follow_reply(1)),
    }


def _view_frames() -> dict[str, pb.Frame]:
    request = pb.ViewRequest(
        requester=sample_member(1),
        known_version=LOG_INDEX,
        clock_s=CLOCK_S,
        known_generation=GENERATION,
        view_lease_remaining_s=1.73,
        settings_version=52_000,
        is_router=True,
        known_routers_version=2**63,
    )
    delta = pb.ViewDelta(from_version=LOG_INDEX, to_version=LOG_INDEX + 1)
    delta.changes.append(_move())
    tree = pb.ReplaceSettings(version=52_001, change_id="c" * 20, tree=b"x" * SETTINGS_BYTES)
    settings = pb.ViewDelta(from_version=LOG_INDEX, to_version=LOG_INDEX + 1, settings=tree)
    return {
        "view request": pb.Frame(view_request=request),
        "view reply, nothing new": pb.Frame(view_reply=_view_reply()),
        "view reply, one range moved": pb.Frame(view_reply=_view_reply(delta)),
        "view reply, settings of 4,096 bytes": pb.Frame(view_reply=_view_reply(settings)),
        "view reply, list of 3 routers": pb.Frame(view_reply=_routers_reply(3)),
        "router report, 3 routers": pb.Frame(router_report=_router_report(3)),
    }


def _request_frames() -> dict[str, pb.Frame]:
    return {
        "forward request, 10 headers, body of 512 bytes": pb.Frame(
            forward_request=_forward_request()
        ),
        "forward reply, 10 headers, body of 512 bytes": pb.Frame(forward_reply=_forward_reply()),
    }


def _forward_request() -> pb.ForwardRequest:
    return pb.ForwardRequest(
        request_id=REQUEST_ID,
        service=SERVICE,
        key=b"customer-0123456789",
        group="group-1",
        method="POST",
        path=f"/v1/{SERVICE}/customer-0123456789/entries",
        headers=_headers(),
        body=b"b" * BODY_BYTES,
        range_start=2**62,
        range_end=2**63,
        token=TOKEN,
        server_name=sample_server(1).name,
        server_incarnation=sample_server(1).incarnation,
        remaining_s=9.876,
        generation=GENERATION,
        settings_version=52_000,
    )


def _forward_reply() -> pb.ForwardReply:
    return pb.ForwardReply(
        request_id=REQUEST_ID,
        outcome=pb.OUTCOME_COMPLETED,
        status=200,
        headers=_headers(),
        body=b"b" * BODY_BYTES,
    )


def _headers() -> list[pb.Header]:
    return [pb.Header(name=f"Header-Name-{n}", value="v" * 24) for n in range(HEADERS)]


def _follow_reply(entry_count: int) -> pb.FollowReply:
    command = pb.Command(change_ranges=_move())
    return pb.FollowReply(
        epoch=TERM,
        generation=GENERATION,
        last_index=LOG_INDEX + entry_count,
        last_batch=LOG_INDEX,
        entries=[
            pb.LogEntry(index=LOG_INDEX + n + 1, term=TERM, command=command)
            for n in range(entry_count)
        ],
        members=pb.Configuration(voters=[sample_member(n) for n in range(3)]),
        row_version=LOG_INDEX,
    )


def _move() -> pb.ChangeRanges:
    return pb.ChangeRanges(expected=[sample_range(1, 64)], replacement=[sample_range(2, 64)])


def _view_reply(delta: pb.ViewDelta | None = None) -> pb.ViewReply:
    return pb.ViewReply(
        version=LOG_INDEX,
        generation=GENERATION,
        echoed_clock_s=CLOCK_S,
        staleness_s=0.123,
        delta=delta,
        routers_version=2**63,
    )


def _routers_reply(count: int) -> pb.ViewReply:
    reply = _view_reply()
    reply.routers.extend(sample_member(number) for number in range(count))
    return reply


def _router_report(count: int) -> pb.RouterReport:
    return pb.RouterReport(
        reporter=sample_member(0),
        routers=[
            pb.RouterPresence(
                router=sample_member(number),
                settings_version=52_000,
                view_version=LOG_INDEX,
                age_s=0.123,
            )
            for number in range(count)
        ],
    )


def _renewal_text(range_count: int | None) -> str:
    ranges = None
    if range_count is not None:
        granted = (sample_range(number, SLOPE_STEP) for number in range(range_count))
        ranges = tuple(GrantedRange(each.start, each.end, each.token) for each in granted)
    renewal = LeaseRenewal(
        incarnation=sample_server(1).incarnation,
        generation=GENERATION,
        grants_version=LOG_INDEX,
        valid_until_s=CLOCK_S,
        ranges=ranges,
    )
    return HttpRenewalModel.from_renewal(renewal).model_dump_json()


def _frame_bytes(frame: pb.Frame) -> int:
    frame.correlation_id = LOG_INDEX
    return len(encode_frame(frame))


def _slope(make: Callable[[int], Message]) -> int:
    large = len(make(SLOPE_STEP).SerializeToString())
    return (large - len(make(0).SerializeToString())) // SLOPE_STEP
