"""The command `indigoworks losses`."""

from result import Err, Result

from indigoworks.cli.errors import Misuse
from indigoworks.cli.flag_values import optional_number
from indigoworks.cli.log_file import read_log_file
from indigoworks.cli.pending_command import Report
from indigoworks.common.errors import IndigoworksError
from indigoworks.request_losses.loss_table import LossTable

DEFAULT_WINDOW_S = 2
"""Short enough to separate the loss of a leader from the seconds before and after it."""


def report_losses(log: str, window_s: object) -> Result[Report, IndigoworksError]:
    """Return the table of refused, lost and late requests from a file of log lines.

    :param log: path of a file with log lines of one or several gateways, in any order.
    :param window_s: length of the time windows, in whole seconds; None: DEFAULT_WINDOW_S.
    """
    given_s = optional_number("--window-s", window_s)
    if isinstance(given_s, Err):
        return given_s
    length_s = DEFAULT_WINDOW_S if given_s.ok_value is None else given_s.ok_value
    if length_s == 0:
        return Err(Misuse("--window-s is 0.", "Give whole seconds above 0 after --window-s."))
    return read_log_file(log).map(lambda lines: LossTable(lines, length_s).render())
