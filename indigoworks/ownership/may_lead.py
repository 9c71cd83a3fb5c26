"""Port by which a process is kept from challenging a leader."""

from collections.abc import Awaitable, Callable

MayLead = Callable[[], Awaitable[bool]]
"""Returns whether this process may challenge, as far as servers in reach are concerned."""


async def may_always_lead() -> bool:
    """Raise no objection."""
    return True
