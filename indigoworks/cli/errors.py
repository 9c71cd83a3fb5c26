"""Errors of the command line."""

from dataclasses import dataclass
from typing import ClassVar

from indigoworks.cli.exit_code import ExitCode
from indigoworks.common.errors import IndigoworksError


@dataclass(frozen=True)
class CommandError(IndigoworksError):
    """Base of the errors of a command.

    :cvar exit_code: exit code of the process.
    """

    kind: ClassVar[str] = "command"
    exit_code: ClassVar[ExitCode] = ExitCode.REFUSED


@dataclass(frozen=True)
class Misuse(CommandError):
    """The command line is wrong: unknown command or flag, missing or malformed value or file."""

    kind: ClassVar[str] = "misuse"
    exit_code: ClassVar[ExitCode] = ExitCode.MISUSE


@dataclass(frozen=True)
class Refused(CommandError):
    """The system, or a check of the command, refused the request.

    :ivar reason: kind of the underlying error.
    """

    reason: str = ""

    kind: ClassVar[str] = "refused"


@dataclass(frozen=True)
class NodeUnreachable(CommandError):
    """The node could not be reached, did not respond to a read, or sent an unreadable response.

    A change took no effect, except perhaps if its response was unreadable.
    """

    kind: ClassVar[str] = "node_unreachable"


@dataclass(frozen=True)
class NodeAnswerLost(CommandError):
    """The node did not respond, or responded 504: a change may have taken effect."""

    kind: ClassVar[str] = "node_answer_lost"


@dataclass(frozen=True)
class AddressUnavailable(CommandError):
    """A process could not listen on its address."""

    kind: ClassVar[str] = "address_unavailable"


@dataclass(frozen=True)
class ProcessFailed(CommandError):
    """A task that the process needs has ended; the process exits."""

    kind: ClassVar[str] = "process_failed"


def as_command_error(error: IndigoworksError) -> CommandError:
    """Return `error` as a CommandError; errors of other packages become Refused."""
    if isinstance(error, CommandError):
        return error
    return Refused(error.message, error.remedy, error.retry_after_s, reason=error.kind)


def as_misuse(error: IndigoworksError) -> Misuse:
    """Return `error` as a misuse of the command line."""
    return Misuse(error.message, error.remedy)
