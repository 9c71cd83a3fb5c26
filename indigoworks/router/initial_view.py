"""Initial view of a starting router, read from the object store."""

from google.protobuf.message import DecodeError

from indigoworks.common.view_object import view_object_name
from indigoworks.platform.object_store import ObjectStore
from indigoworks.router.routing_view import RoutingView
from indigoworks.router.view_update import updated_view
from indigoworks.wire.control_pb2 import ViewReply


async def read_initial_view(objects: ObjectStore, group_id: int) -> RoutingView | None:
    """Return a recent view from the object store, or None if there is no readable one.

    It has no lease: a controller must confirm it and send the changes since. Routers that start
    at the same time thus request deltas from the controllers instead of complete views.
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
