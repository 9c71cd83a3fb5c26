"""Body of the resolved settings of a node of the tree."""

from indigoworks.admin.bodies.body import Body
from indigoworks.admin.bodies.resolved_value_body import ResolvedValueBody


class ResolvedBody(Body):
    """Every setting of a service, group and key.

    :ivar group: group as asked for; empty: none.
    :ivar key: key as text, escaped where it is not UTF-8; empty: none.
    """

    version: int
    service: str
    group: str
    key: str
    values: list[ResolvedValueBody]
