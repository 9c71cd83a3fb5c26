"""A TCP address."""

from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class Address:
    """IP address and TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
