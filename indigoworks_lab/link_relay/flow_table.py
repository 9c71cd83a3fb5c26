"""All flows of a relay."""

from indigoworks_lab.link_relay.flow import Flow

SEPARATOR = ">"


class FlowTable:
    """The flows by name, `SOURCE>DESTINATION`; a flow comes into being when it is asked for."""

    def __init__(self) -> None:
        self.flows: dict[str, Flow] = {}

    def between(self, source: str, destination: str) -> Flow:
        """Return the flow from one process to another."""
        return self.named(f"{source}{SEPARATOR}{destination}")

    def named(self, name: str) -> Flow:
        """Return the flow with that name."""
        return self.flows.setdefault(name, Flow())
