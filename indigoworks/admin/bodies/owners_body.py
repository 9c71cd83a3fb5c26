"""Body of the owners of ranges."""

from indigoworks.admin.bodies.body import Body
from indigoworks.admin.bodies.range_body import RangeBody


class OwnersBody(Body):
    """Ranges, sorted by service and start.

    :ivar view_version: log index that the answer reflects.
    :ivar place: place of the asked key in the key space; empty where no key was asked.
    """

    view_version: int
    place: str
    ranges: list[RangeBody]
