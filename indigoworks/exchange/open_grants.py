"""What a leader tells its witnesses of its grants."""

from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class OpenServer:
    """A server that may yet apply a grant which it has not answered.

    :ivar left_s: for how long it may hold keys by grants that were sent before the record, by the
        leader or earlier ones, in seconds.
    :ivar is_silent: it left an order unanswered and has answered none since.
    """

    server_id: str
    left_s: float
    is_silent: bool

    def aged(self, age_s: float) -> "OpenServer":
        """Return the record as of `age_s` later."""
        return replace(self, left_s=max(0.0, self.left_s - age_s))


@dataclass(frozen=True, slots=True)
class OpenGrants:
    """The grants of a leader that are not answered, by server.

    A leader sends a grant only to a server that is listed in what all its witnesses have
    acknowledged. So a server that is not listed in the newest record of a witness has answered all
    grants of the leader, and gets no further one once that witness acknowledges nothing more.

    :ivar number: grows with each record of an epoch; a record replaces those of lower numbers.
    :ivar left_s: for how long servers that are not listed may hold keys, in seconds.
    :ivar hold_s: longest hold of grants that are sent after the record, in seconds.
    """

    epoch: int
    number: int
    left_s: float
    hold_s: float
    servers: tuple[OpenServer, ...]

    def aged(self, age_s: float) -> "OpenGrants":
        """Return the record as of `age_s` later."""
        servers = tuple(each.aged(age_s) for each in self.servers)
        return replace(self, left_s=max(0.0, self.left_s - age_s), servers=servers)
