"""One dispatcher in virtual time, and what came of its requests."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field

from result import Ok
from router_fakes import FakeBackends

from indigoworks.backend.owned_request import OwnedRequest
from indigoworks.router.dispatch_request import DispatchRequest
from indigoworks.router.dispatcher import ServerDispatcher
from indigoworks.settings.parse_tree import parse_tree
from indigoworks.settings.settings_resolver import SettingsResolver

BASE = SettingsResolver(parse_tree(b"services: {shop: {}}").unwrap()).resolve("shop")


@dataclass
class Ended:
    """How one request ended, and when."""

    result: object
    started_s: float
    took_s: float


@dataclass
class Bench:
    """One dispatcher and what came of the requests, by group."""

    dispatcher: ServerDispatcher
    backends: FakeBackends
    ended: dict = field(default_factory=lambda: defaultdict(list))
    is_in_force: bool = True
    numbers: int = 0

    def submit(self, group="g", repeatable=True, request_id=None, timeout_s=5.0, **limits):
        self.numbers += 1
        identity = request_id or f"{group}-{self.numbers}"
        return asyncio.ensure_future(self.run(identity, group, repeatable, timeout_s, limits))

    async def run(self, identity, group, repeatable, timeout_s, limits):
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        owned = OwnedRequest(
            identity, "shop", b"k", group, "GET", "/", (), b"", 0, 1, 1, "alpha-run", timeout_s
        )
        request = DispatchRequest(owned, "alpha", started_s + timeout_s, repeatable, 1, 1)
        settings = BASE.__class__(**{**vars(BASE), "max_queue_delay_s": 5.0, **limits})
        result = await self.dispatcher.submit(request, group, settings)
        ended = Ended(result, started_s, loop.time() - started_s)
        self.ended[group].append(ended)
        return ended

    def answered(self, group="g"):
        return [each for each in self.ended[group] if isinstance(each.result, Ok)]

    def answered_by(self, group, until_s):
        """Return those answered while the load lasted; what is left then drains unshared."""
        return [each for each in self.answered(group) if each.started_s + each.took_s <= until_s]

    def refused(self, kind, group="g"):
        return [
            each
            for each in self.ended[group]
            if not isinstance(each.result, Ok) and each.result.unwrap_err().kind == kind
        ]

    async def keep_waiting(self, group, count, duration_s, **limits):
        until_s = asyncio.get_running_loop().time() + duration_s

        async def one():
            while asyncio.get_running_loop().time() < until_s:
                await self.submit(group, **limits)

        await asyncio.gather(*(one() for _ in range(count)))

    async def arrive(self, group, per_second, duration_s, **limits):
        tasks = []
        for _ in range(int(per_second * duration_s)):
            tasks.append(self.submit(group, **limits))
            await asyncio.sleep(1 / per_second)
        await asyncio.gather(*tasks)
