"""What the checkers of a run found."""

import asyncio

from indigoworks_lab.control_simulation.violation import Violation

MAX_OF_ONE_CHECKER = 20
"""More violations of one checker say nothing new."""


class ViolationList:
    """Collects violations with the true time."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.found: list[Violation] = []

    def add(self, checker: str, text: str) -> None:
        """Keep a violation."""
        known = sum(1 for each in self.found if each.checker == checker)
        if known < MAX_OF_ONE_CHECKER:
            self.found.append(Violation(checker, self._loop.time(), text))
