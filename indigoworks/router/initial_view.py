"""The view that a router starts from."""

from google.protobuf.message import DecodeError

from indigoworks.common.view_object import view_object_name
from indigoworks.platform.object_store import ObjectStore
from indigoworks.router.routing_view import RoutingView
from indigoworks.router.view_update import updated_view
from indigoworks.wire.control_pb2 import ViewReply


async def read_initial_view(objects: ObjectStore, group_id: int) -> RoutingView | None:
    """Return a recent view from the object store, or None where there is none to be had.

    It must not be acted upon: a controller confirms it first and adds what has changed since.
    Routers that start together then ask the controllers for deltas and not for whole views.
    """
    read = await objects.get(view_object_name(group_id))
    content = read.unwrap_or(None)
    if content is None:
        return None
    try:
        reply = ViewReply.FromString(content)
    except DecodeError:
        return None
    return updated_view(None, reply).unwrap_or(None)
