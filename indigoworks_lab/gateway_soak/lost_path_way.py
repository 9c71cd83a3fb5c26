"""Ways in which a gateway loses its path to servers."""

from enum import Enum

from indigoworks_lab.gateway_soak.key_link import KeyLink


class LostPathWay(Enum):
    """What becomes of the connections between a gateway and a server."""

    PACKETS_LOST = "packets are lost"
    RESET = "connections are reset, new ones too"
    NO_NEW_CONNECTIONS = "open connections live on, new ones get no answer"

    def disturb(self, link: KeyLink, caller: str) -> None:
        """Disturb the link to one server for a gateway."""
        if self is LostPathWay.RESET:
            link.cut(caller)
            return
        link.drop_connects(caller)
        if self is LostPathWay.PACKETS_LOST:
            link.fall_silent(caller, delivers=False)
