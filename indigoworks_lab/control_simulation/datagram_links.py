"""Carries datagrams between nodes."""

from collections.abc import Coroutine
from typing import Any, Protocol

from indigoworks_lab.control_simulation.links import Links
from indigoworks_lab.control_simulation.traffic_counter import (
    DATAGRAM_RECEIVED,
    DATAGRAM_SENT,
    TrafficCounter,
)
from indigoworks_lab.simulation.core.simulated_process import SimulatedProcess

Endpoint = tuple[str, int]


class DatagramReceiver(Protocol):
    """Takes datagrams."""

    def receive(self, delay_s: float, datagram: bytes) -> Coroutine[Any, Any, None]:
        """Take a datagram that arrives after `delay_s`."""
        ...


class DatagramLinks:
    """Datagrams are lost, late and out of order; one to a frozen process waits for it."""

    def __init__(self, links: Links, traffic: TrafficCounter) -> None:
        self._links = links
        self._traffic = traffic
        self._receivers: dict[Endpoint, tuple[str, SimulatedProcess, DatagramReceiver]] = {}

    def attach(
        self, endpoint: Endpoint, name: str, process: SimulatedProcess, receiver: DatagramReceiver
    ) -> None:
        """Give a process an endpoint; an earlier one there receives nothing more."""
        self._receivers[endpoint] = (name, process, receiver)

    def send(self, source: str, datagram: bytes, endpoint: Endpoint) -> None:
        """Send a datagram."""
        self._traffic.add(DATAGRAM_SENT, source, len(datagram))
        known = self._receivers.get(endpoint)
        if known is None:
            return
        name, process, receiver = known
        is_lost = self._links.is_cut(source, name) or self._links.loses_datagram()
        if is_lost or not process.is_alive:
            return
        self._traffic.add(DATAGRAM_RECEIVED, name, len(datagram))
        process.spawn(receiver.receive(self._links.latency_s(source, name), datagram))
