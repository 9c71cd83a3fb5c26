"""Reading of the log file given to a command."""

from result import Err, Ok, Result

from indigoworks.cli.errors import Misuse
from indigoworks.common.errors import IndigoworksError
from indigoworks.request_story.log_line import LogLine, read_log_lines


def read_log_file(path: str) -> Result[list[LogLine], IndigoworksError]:
    """Return the structured lines of a file; other lines are skipped.

    :param path: file with log lines of one or several gateways, in any order.
    """
    try:
        with open(path, encoding="utf-8", errors="replace") as file:
            return Ok(list(read_log_lines(file)))
    except OSError as error:
        return Err(
            Misuse(
                f"The log {path} cannot be read: {error.strerror or error}.",
                "Give the path of a file with the gateways' standard output.",
            )
        )
