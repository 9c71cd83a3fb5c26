"""Prints messages and bytes a second of gateways at work, by role, in a run without faults."""

import asyncio
from dataclasses import dataclass

import fire

from indigoworks.ownership.control_group import CONTROL_TABLE, part_of
from indigoworks.ownership.ownership_tables import OWNERS_PREFIX
from indigoworks_lab.control_simulation import traffic_counter
from indigoworks_lab.control_simulation.control_deployment import ControlDeployment
from indigoworks_lab.control_simulation.request_load import RequestLoad
from indigoworks_lab.control_simulation.run_control_seed import make_control_loop
from indigoworks_lab.control_simulation.run_outside import run_outside
from indigoworks_lab.control_simulation.server_entry import SERVICE
from indigoworks_lab.simulation.core.disposal import dispose, silent_disposal

START_S = 6.0
MAX_STEPS = 50_000_000
KINDS = (
    traffic_counter.DATAGRAM_SENT,
    traffic_counter.DATAGRAM_RECEIVED,
    traffic_counter.STORE_READ,
    traffic_counter.STORE_WRITE,
    traffic_counter.ORDER,
)


@dataclass(frozen=True, slots=True)
class Rate:
    """Messages and bytes a second of one kind: the leader's, and the mean of the others."""

    leader_messages: float
    leader_bytes: float
    other_messages: float
    other_bytes: float


class TrafficRun:
    """One run without faults; `rates` by kind, once it has ended."""

    def __init__(self, gateways: int, servers: int, requests_per_s: float, window_s: float) -> None:
        self._gateways = gateways
        self._servers = servers
        self._requests_per_s = requests_per_s
        self._window_s = window_s
        self.rates: dict[str, Rate] = {}
        self.owners_bytes = 0
        self.tables_written = 0

    def run(self, seed: int) -> None:
        """Run one seed."""
        loop = make_control_loop(seed, MAX_STEPS)
        with silent_disposal():
            deployment = ControlDeployment(loop, seed, self._gateways, self._servers)
            loop.run_until_complete(loop.create_task(self._count(deployment)))
            dispose(loop)

    async def _count(self, deployment: ControlDeployment) -> None:
        deployment.start()
        run_outside(deployment.loop, RequestLoad(deployment, self._requests_per_s).run())
        await asyncio.sleep(START_S)
        written = deployment.audit.rows.tables_written
        deployment.traffic.clear()
        await asyncio.sleep(self._window_s)
        self.tables_written = deployment.audit.rows.tables_written - written
        row = deployment.store.rows.row(CONTROL_TABLE, part_of(0), OWNERS_PREFIX + SERVICE)
        self.owners_bytes = 0 if row is None else len(row.value)
        leader = deployment.leader()
        assert leader is not None, "no gateway leads"
        self.rates = {kind: self._rate(deployment, kind, leader.name) for kind in KINDS}

    def _rate(self, deployment: ControlDeployment, kind: str, leader: str) -> Rate:
        messages, sizes = deployment.traffic.messages, deployment.traffic.bytes
        others = [name for name in deployment.nodes if name != leader]
        share_s = self._window_s * max(1, len(others))
        return Rate(
            messages[(kind, leader)] / self._window_s,
            sizes[(kind, leader)] / self._window_s,
            sum(messages[(kind, name)] for name in others) / share_s,
            sum(sizes[(kind, name)] for name in others) / share_s,
        )


def count_traffic(
    gateways: int = 8,
    servers: int = 17,
    requests: float = 10.0,
    window: float = 4.0,
    seed: int = 1,
) -> None:
    """Print the table.

    :param requests: requests a second at each gateway.
    :param window: seconds that are counted, after START_S.
    """
    run = TrafficRun(gateways, servers, requests * gateways, window)
    run.run(seed)
    print(f"{gateways} gateways, {servers} servers, {requests} requests/s each, seed {seed}")
    print(f"row of owners {run.owners_bytes} bytes, written {run.tables_written} times")
    for kind, rate in run.rates.items():
        print(
            f"{kind}: leader {rate.leader_messages:.1f}/s {rate.leader_bytes:.0f} B/s,"
            f" other {rate.other_messages:.1f}/s {rate.other_bytes:.0f} B/s"
        )


def main() -> None:
    """Run from the command line."""
    fire.Fire(count_traffic, name="count-traffic")


if __name__ == "__main__":
    main()
