"""Sends the streams of a scenario to the routers."""

import asyncio
from collections.abc import Sequence
from random import Random

from indigoworks.router.caller_request import CallerRequest
from indigoworks_lab.bench.deployment.entry_host import EntryHost
from indigoworks_lab.bench.deployment.machines import Machines
from indigoworks_lab.bench.figures.call_record import CallRecord
from indigoworks_lab.bench.network.current_host import CURRENT_HOST
from indigoworks_lab.bench.scenario.load_stream import LoadStream
from indigoworks_lab.load.zipf_keys import ZipfKeys

MISSING_ANSWER = "unknown"
"""Outcome of a request whose answer had not come when the caller gave up."""

PATIENCE_S = 20.0
"""Time after which a caller gives up; longer than any timeout of the trees."""


class LoadGenerator:
    """Open-loop callers: a request starts when it is due.

    :ivar records: all requests so far, in the order of their arrival.
    """

    def __init__(self, machines: Machines, entries: Sequence[EntryHost]) -> None:
        self.records: list[CallRecord] = []
        self._machines = machines
        self._entries = entries
        self._under_way: set[asyncio.Task[None]] = set()

    async def run(self, streams: Sequence[LoadStream]) -> None:
        """Send all streams and wait for the answers."""
        began_s = asyncio.get_running_loop().time()
        await asyncio.gather(*(self._send_stream(stream, began_s) for stream in streams))
        while self._under_way:
            await asyncio.wait(set(self._under_way))

    async def _send_stream(self, stream: LoadStream, began_s: float) -> None:
        loop = asyncio.get_running_loop()
        random = self._machines.random(f"stream:{stream.name}")
        keys = self._keys(stream, random)
        read_ratio = self._machines.installation.service(stream.service).read_ratio
        due_s = began_s + stream.from_s + random.expovariate(stream.rate_per_s)
        number = 0
        while due_s < began_s + stream.to_s:
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            number += 1
            key = keys.draw()
            if stream.keys:
                key = stream.keys[key]
            record = CallRecord(
                request_id=f"{stream.name}:{number}",
                service=stream.service,
                group=stream.group,
                is_read=random.random() < read_ratio,
                is_surplus=not stream.name.startswith("calm:"),
                due_s=due_s,
            )
            self._start(record, key_name(self._machines.seed, key), random.choice(self._entries))
            due_s += random.expovariate(stream.rate_per_s)

    def _keys(self, stream: LoadStream, random: Random) -> ZipfKeys:
        installation = self._machines.installation
        count = len(stream.keys) or installation.keys_per_service
        return ZipfKeys(count, installation.zipf_exponent, random)

    def _start(self, record: CallRecord, key: str, entry: EntryHost) -> None:
        self.records.append(record)
        task = asyncio.ensure_future(self._call(record, key, entry))
        self._under_way.add(task)
        task.add_done_callback(self._under_way.discard)

    async def _call(self, record: CallRecord, key: str, entry: EntryHost) -> None:
        loop = asyncio.get_running_loop()
        delay_s = self._machines.topology.delay_s("", entry.host)
        # What the router does for this request belongs to the router's host.
        CURRENT_HOST.set(entry.host)
        await asyncio.sleep(delay_s)
        try:
            async with asyncio.timeout(PATIENCE_S):
                response = await entry.entry.handle(_request(record, key))
        except TimeoutError:
            record.outcome = MISSING_ANSWER
        else:
            record.outcome = response.outcome.value
            record.error = response.error.kind if response.error is not None else ""
        await asyncio.sleep(delay_s)
        record.answered_s = loop.time()


def key_name(seed: int, number: int) -> str:
    """Return the key with a number; each seed has other keys, so that they fall to other places."""
    return f"key-{seed}-{number}"


def _request(record: CallRecord, key: str) -> CallerRequest:
    return CallerRequest(
        request_id=record.request_id,
        service=record.service,
        key=key.encode(),
        group=record.group,
        method="GET" if record.is_read else "POST",
        path=f"/v1/{record.service}/{key}",
        body=b"" if record.is_read else b"x",
    )
