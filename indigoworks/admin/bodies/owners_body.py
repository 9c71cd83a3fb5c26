"""Body of the owners of ranges."""

from indigoworks.admin.bodies.body import Body
from indigoworks.admin.bodies.range_body import RangeBody


class OwnersBody(Body):
    """Ranges, sorted by service and start.

    :ivar view_version: version of the state in this response: a controller's log index, or the
        version of the newest row that a gateway applied.
    :ivar place: position of the requested key in the key space; empty if no key was requested.
    """

    view_version: int
    place: str
    ranges: list[RangeBody]
