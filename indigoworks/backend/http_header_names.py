"""Names of the HTTP headers of the back-end contract."""

REQUEST_ID = "Indigoworks-Request-Id"
"""Id of the request; an answer echoes it."""

SERVICE = "Indigoworks-Service"

KEY = "Indigoworks-Key"
"""Key of the request, percent-encoded."""

GROUP = "Indigoworks-Group"

RANGE = "Indigoworks-Range"
"""Both ends of the granted range as hexadecimal numbers, joined by a hyphen."""

TOKEN = "Indigoworks-Token"
"""Fencing token, decimal."""

INCARNATION = "Indigoworks-Incarnation"

DEADLINE_MS = "Indigoworks-Deadline-Ms"
"""Milliseconds left until the deadline, counted from the sending of the request."""

SHED = "Indigoworks-Shed"
"""Present on a 503 answer when the server declined for load and ran nothing."""

RETRY_AFTER = "Retry-After"
"""Seconds, decimal; fractions are allowed between the programs of one installation."""
