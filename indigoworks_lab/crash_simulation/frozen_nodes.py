"""Gateways that stand still for a while, as a suspended machine does."""

import asyncio
from collections.abc import Callable


class FrozenNodes:
    """Holds back what comes to, and goes out of, a gateway that is frozen.

    Its tasks go on, and nobody notices: whatever they send leaves once it is thawed.
    """

    def __init__(self) -> None:
        self._held: dict[str, list[Callable[[], None]]] = {}
        self._thawed: dict[str, asyncio.Event] = {}

    def freeze(self, node: str) -> None:
        """Let a gateway stand still from now on."""
        self._held.setdefault(node, [])
        self._thawed.setdefault(node, asyncio.Event())

    def thaw(self, node: str) -> None:
        """Let it go on with all that was held back."""
        held = self._held.pop(node, [])
        thawed = self._thawed.pop(node, None)
        if thawed is not None:
            thawed.set()
        for each in held:
            each()

    def is_frozen(self, node: str) -> bool:
        """Tell whether a gateway stands still."""
        return node in self._held

    def holds(self, node: str, act: Callable[[], None]) -> bool:
        """Keep `act` for later where the gateway stands still; tell whether it does."""
        held = self._held.get(node)
        if held is None:
            return False
        held.append(act)
        return True

    async def thawed(self, node: str) -> None:
        """Return as soon as the gateway does not stand still."""
        while (event := self._thawed.get(node)) is not None:
            await event.wait()
