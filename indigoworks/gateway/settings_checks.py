"""Validation of a gateway's settings, field by field."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

TEMPLATE = "deploy/gateway.settings.template"

MAX_PORT = 65_535
MAX_CORES = 4096
MAX_MEMORY_MB = 64 * 1024 * 1024
MAX_TIME_S = 86_400.0
MAX_TIME_MS = MAX_TIME_S * 1000.0


@dataclass(frozen=True, slots=True)
class NumberRange:
    """Numbers from `lowest` to `highest`; `is_open` excludes `lowest` itself."""

    lowest: float
    highest: float
    is_open: bool = False

    def contains(self, value: object) -> bool:
        """Return whether `value` is a number in the range, or a text of one."""
        if isinstance(value, bool) or not isinstance(value, int | float | str):
            return False
        try:
            number = float(value)
        except ValueError:
            return False
        if math.isnan(number) or (self.is_open and number == self.lowest):
            return False
        return self.lowest <= number <= self.highest

    def __str__(self) -> str:
        least = "above" if self.is_open else "from"
        return f"a number {least} {self.lowest:g} up to {self.highest:g}"


PORTS = NumberRange(1, MAX_PORT)
TIMES_S = NumberRange(0, MAX_TIME_S, is_open=True)
TIMES_MS = NumberRange(0, MAX_TIME_MS, is_open=True)

NUMBERS: Mapping[str, NumberRange] = {
    "server_heartbeat_ms": TIMES_MS,
    "drain_ms": NumberRange(0, MAX_TIME_MS),
    "configuration_apply_ms": NumberRange(0, MAX_TIME_MS),
    "cold_overshoot": NumberRange(1, 1000),
    "stop_grace_s": TIMES_S,
    "hold_max_ms": TIMES_MS,
    "retry_ratio": NumberRange(0, 1),
    "retry_window_s": TIMES_S,
    "retry_slack": NumberRange(0, 1_000_000),
    "core_share": NumberRange(0, MAX_CORES, is_open=True),
    "link_mbit": NumberRange(0, 1_000_000, is_open=True),
    "memory_mb": NumberRange(0, MAX_MEMORY_MB, is_open=True),
    "cores": NumberRange(0, MAX_CORES, is_open=True),
}
"""Optional numeric fields."""

PORT_FIELDS = ("peer_port", "metrics_port")
ADDRESS_FIELDS = ("front_address", "readiness_address", "store_address")
TEXT_FIELDS = ("node", "peer_host")
OTHER_FIELDS = ("zone",)


@dataclass(frozen=True, slots=True)
class InvalidField:
    """An invalid field: its value (None if it is missing), and what is expected."""

    field: str
    value: object
    expected: str


def find_invalid_field(document: Mapping[str, object]) -> InvalidField | None:
    """Return the first invalid field, or None."""
    for field in (*TEXT_FIELDS, *OTHER_FIELDS, *PORT_FIELDS, *ADDRESS_FIELDS):
        if field not in document:
            return InvalidField(field, None, "what the template says")
    for field in TEXT_FIELDS:
        if not isinstance(document[field], str) or not document[field]:
            return InvalidField(field, document[field], "a text that is not empty")
    for field in PORT_FIELDS:
        if not _is_port(document[field]):
            return InvalidField(field, document[field], f"a whole number from 1 to {MAX_PORT}")
    for field in ADDRESS_FIELDS:
        if not _is_address(document[field]):
            return InvalidField(field, document[field], f"HOST:PORT with a port up to {MAX_PORT}")
    for field, numbers in NUMBERS.items():
        if field in document and not numbers.contains(document[field]):
            return InvalidField(field, document[field], str(numbers))
    return None


def _is_port(value: object) -> bool:
    return PORTS.contains(value) and str(value).isdecimal()


def _is_address(value: object) -> bool:
    return isinstance(value, str) and ":" in value and _is_port(value.rpartition(":")[2])
