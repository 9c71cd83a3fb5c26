"""Writes the histories of a run."""

import asyncio

from indigoworks_lab.checkers.history.history import History


class Recorder:
    """The histories of one run and the true time they are written in."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.history = History()
        self._loop = loop

    def now_s(self) -> float:
        """Return the true time, in seconds since the run began."""
        return self._loop.time()
