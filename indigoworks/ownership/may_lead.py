"""Port by which a process is kept from challenging a leader."""

from collections.abc import Awaitable, Callable

MayLead = Callable[[bool], Awaitable[bool]]
"""Returns whether this process may challenge, as far as servers in reach are concerned; the flag
tells whether the leader gave up, so that whoever reaches most servers should come first."""


async def may_always_lead(is_given_up: bool) -> bool:
    """Raise no objection."""
    return True
