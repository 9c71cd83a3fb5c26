"""Which simulated process a handle of the event loop belongs to."""

from contextvars import ContextVar

PROCESS_NUMBER: ContextVar[int | None] = ContextVar("simulated_process", default=None)
"""Number of the simulated process that a task runs in; None for the harness itself."""
