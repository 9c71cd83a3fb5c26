"""The command `indigoworks story`."""

from result import Err, Ok, Result

from indigoworks.cli.errors import Misuse
from indigoworks.cli.pending_command import Report
from indigoworks.common.errors import IndigoworksError
from indigoworks.request_story.log_line import read_log_lines
from indigoworks.request_story.request_story import RequestStory, render


def tell_story(request_id: str, log: str) -> Result[Report, IndigoworksError]:
    """Return the story of a request from a file of log lines.

    :param log: path of a file that holds the lines of one or several gateways, in any order.
    """
    try:
        with open(log, encoding="utf-8", errors="replace") as file:
            lines = list(read_log_lines(file))
    except OSError as error:
        return Err(
            Misuse(
                f"The log {log} cannot be read: {error.strerror or error}.",
                "Give the path of a file that holds the gateways' standard output.",
            )
        )
    return Ok(render(RequestStory(request_id, lines).lines()))
