"""Body of the resolved settings of a service, group and key."""

from indigoworks.admin.bodies.body import Body
from indigoworks.admin.bodies.resolved_value_body import ResolvedValueBody


class ResolvedBody(Body):
    """Every setting, resolved for a service, group and key.

    :ivar group: requested group; empty: none.
    :ivar key: requested key, bytes that are not UTF-8 escaped; empty: none.
    """

    version: int
    service: str
    group: str
    key: str
    values: list[ResolvedValueBody]
