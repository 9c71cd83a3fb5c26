"""A process that is reached through the relay."""

from dataclasses import dataclass

from indigoworks.common.address import Address
from indigoworks.settings.process_settings import parse_address


@dataclass(frozen=True)
class RelayDestination:
    """The relay listens at `listen` for the process `name`, which listens at `target`."""

    name: str
    listen: Address
    target: Address

    def __str__(self) -> str:
        return f"{self.name}@{self.listen}@{self.target}"


def parse_destination(text: str) -> RelayDestination:
    """Return the destination written as `name@ip:port@ip:port`.

    :raises ValueError: the text is no such destination.
    """
    parts = text.split("@")
    if len(parts) != 3:
        raise ValueError(f"{text!r} is not of the form name@ip:port@ip:port")
    return RelayDestination(parts[0], parse_address(parts[1]), parse_address(parts[2]))
