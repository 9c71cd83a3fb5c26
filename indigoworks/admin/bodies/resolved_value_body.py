"""Body of one resolved value."""

from indigoworks.admin.bodies.body import Body


class ResolvedValueBody(Body):
    """A value and the level of the tree that set it."""

    name: str
    value: bool | int | float | str | list[str]
    level: str
