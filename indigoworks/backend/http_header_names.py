"""Names of the HTTP headers of the back-end contract."""

REQUEST_ID = "Indigoworks-Request-Id"
"""Id of the request; the response echoes it."""

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
"""Milliseconds left until the deadline when the request is sent."""

SHED = "Indigoworks-Shed"
"""Present on a 503 response if the server rejected the request for overload and did not run it."""

RETRY_AFTER = "Retry-After"
"""Seconds, decimal; between the programs of one installation fractions are allowed."""
