"""The command `indigoworks story`."""

from result import Result

from indigoworks.cli.log_file import read_log_file
from indigoworks.cli.pending_command import Report
from indigoworks.common.errors import IndigoworksError
from indigoworks.request_story.request_story import RequestStory, render


def report_story(request_id: str, log: str) -> Result[Report, IndigoworksError]:
    """Return the log lines that concern a request, from a file of log lines.

    :param log: path of a file with log lines of one or several gateways, in any order.
    """
    return read_log_file(log).map(lambda lines: render(RequestStory(request_id, lines).lines()))
