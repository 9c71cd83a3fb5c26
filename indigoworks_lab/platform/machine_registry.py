"""Machines of the stand-in, listed with a lag."""

from collections.abc import Sequence

from indigoworks.platform.machine_record import MachineRecord


class MachineRegistry:
    """Remembers when each machine changed, and lists the machines as they were a while ago."""

    def __init__(self) -> None:
        self._history: list[tuple[float, dict[str, MachineRecord]]] = []

    def put(self, record: MachineRecord, now_s: float) -> None:
        """Add the machine or replace its record."""
        machines = self._newest()
        machines[record.name] = record
        self._history.append((now_s, machines))

    def remove(self, name: str, now_s: float) -> None:
        """Remove the machine if it is there."""
        machines = self._newest()
        machines.pop(name, None)
        self._history.append((now_s, machines))

    def listed(self, now_s: float, lag_s: float) -> Sequence[MachineRecord]:
        """Return the machines as of `lag_s` seconds before `now_s`, ordered by name."""
        seen: dict[str, MachineRecord] = {}
        for changed_s, machines in self._history:
            if changed_s > now_s - lag_s:
                break
            seen = machines
        return [seen[name] for name in sorted(seen)]

    def _newest(self) -> dict[str, MachineRecord]:
        return dict(self._history[-1][1]) if self._history else {}
