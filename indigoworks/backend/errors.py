"""Errors of the back ends."""

from dataclasses import dataclass
from typing import ClassVar

from indigoworks.common.errors import IndigoworksError


@dataclass(frozen=True)
class BackendError(IndigoworksError):
    """Base of the errors of a back end."""

    kind: ClassVar[str] = "backend"


@dataclass(frozen=True)
class BackendUnreachable(BackendError):
    """No connection was made or free in time: the request never reached the server."""

    kind: ClassVar[str] = "backend_unreachable"


@dataclass(frozen=True)
class BackendAnswerLost(BackendError):
    """The response is missing, truncated or invalid: the server may have run the request."""

    kind: ClassVar[str] = "backend_answer_lost"


@dataclass(frozen=True)
class BackendRefused(BackendError):
    """The server refused a renewal for another incarnation, or with older grants than its own."""

    kind: ClassVar[str] = "backend_refused"
