"""Where the rows of a control group lie."""

from dataclasses import dataclass

CONTROL_TABLE = "indigoworks"


@dataclass(frozen=True, slots=True)
class ControlGroup:
    """A group of keys with one leader; its rows share one part, so that one transaction can
    condition on the leader and change owners."""

    group_id: int = 0

    @property
    def part(self) -> str:
        """Return the part of the control table."""
        return f"group-{self.group_id}"
