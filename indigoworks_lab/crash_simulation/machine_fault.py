"""Ways in which a simulated server fails without ending."""

from enum import Enum


class MachineFault(Enum):
    """What a server does with each request, at once where nothing else is said."""

    BREAKS_OFF = "breaks the connection off"
    """As with any bytes that are no valid response."""
    ERROR = "answers 500"
    UNSIGNED = "answers without its signature"
    SILENT = "never answers"
