"""What a soak of servers that hold keys is made of, as its events see it."""

from collections.abc import Coroutine, Mapping, Sequence
from typing import Any, Protocol

from indigoworks.common.address import Address
from indigoworks.ownership.leader_row import LeaderRow
from indigoworks_lab.gateway_soak.hot_keys import HotKeys
from indigoworks_lab.gateway_soak.key_link import KeyLink
from indigoworks_lab.gateway_soak.key_server_place import KeyServerPlace
from indigoworks_lab.launcher.managed_process import ManagedProcess


class DisturbedGateway(Protocol):
    """A gateway and its processes, one after the other."""

    name: str
    process: ManagedProcess
    readiness: Address
    is_restarting: bool

    def start(self) -> None:
        """Start a process."""

    def kill(self) -> None:
        """End the process at once."""

    async def stop(self) -> None:
        """Ask the process to end, and wait for it."""

    async def ended(self) -> None:
        """Wait for the end of the process."""


class DisturbedStore(Protocol):
    """The platform's store."""

    def leader(self) -> LeaderRow | None:
        """Return the newest row of the leader."""

    def put(self, table: str, part: str, key: str, value: bytes) -> None:
        """Write a row."""

    async def trouble(self, mode: str, duration_s: float) -> None:
        """Be slow, down, or lose answers for a while."""

    async def start_again(self, away_s: float, jump_s: float) -> None:
        """Be away as a process that starts again; its clock reads otherwise."""

    async def return_from_copy(self, age_s: float, away_s: float) -> None:
        """Copy all, go away after a while, and come back from the copy."""


class DisturbedWorld(Protocol):
    """All of it.

    :ivar sources: by gateway, the address from which its connections come.
    :ivar store_link: that gateways use.
    """

    gateways: Sequence[DisturbedGateway]
    servers: Sequence[KeyServerPlace]
    store: DisturbedStore
    store_link: KeyLink
    sources: Mapping[str, str]
    keys: HotKeys

    def spawn(self, work: Coroutine[Any, Any, None]) -> object:
        """Run work beside."""
