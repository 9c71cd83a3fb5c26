"""The command `indigoworks owners-story`."""

from result import Err, Result

from indigoworks.cli.flag_values import optional_number
from indigoworks.cli.log_file import read_log_file
from indigoworks.cli.pending_command import Report
from indigoworks.common.errors import IndigoworksError
from indigoworks.owners_story.owners_story import OwnersStory, render


def report_owners_story(service: str, key: object, log: str) -> Result[Report, IndigoworksError]:
    """Return how the owner of a key changed, from a file of log lines.

    :param key: number of the key.
    :param log: path of a file with log lines of one or several gateways, in any order.
    """
    number = optional_number("KEY", key)
    if isinstance(number, Err):
        return number
    return read_log_file(log).map(
        lambda lines: render(OwnersStory(service, number.ok_value or 0, lines).lines())
    )
