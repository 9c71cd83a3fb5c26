"""All back ends of a run."""

from collections.abc import Iterator

from indigoworks.common.address import Address
from indigoworks_lab.bench.deployment.bench_server import BenchServer


class BackendRegistry:
    """Back ends by address. Addresses are never used twice."""

    def __init__(self) -> None:
        self._servers: dict[Address, BenchServer] = {}

    def __iter__(self) -> Iterator[BenchServer]:
        return iter(self._servers.values())

    def add(self, server: BenchServer) -> None:
        """Let `server` listen on its address."""
        self._servers[server.address] = server

    def at(self, address: Address) -> BenchServer:
        """Return what listens on `address`."""
        return self._servers[address]

    def named(self, name: str) -> BenchServer:
        """Return the server called `name`."""
        return next(each for each in self if each.identity.name == name)

    def of_service(self, service: str) -> list[BenchServer]:
        """Return the servers of a service, in the order of their start."""
        return [each for each in self if each.identity.service == service]
