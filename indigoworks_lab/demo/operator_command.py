"""Operator commands of the demo, run as an operator runs them."""

from collections.abc import Sequence

from indigoworks_lab.demo.command_result import CommandResult
from indigoworks_lab.launcher.deployment import PRODUCT
from indigoworks_lab.launcher.launcher import Launcher

COMMAND_TIMEOUT_S = 15.0


async def run_operator_command(
    launcher: Launcher, name: str, arguments: Sequence[str]
) -> CommandResult:
    """Run `indigoworks` with `arguments` to its end.

    :param name: name of the run; its output goes to the log of that name.
    """
    process = launcher.start(name, PRODUCT, arguments)
    ended = await process.wait(COMMAND_TIMEOUT_S)
    return CommandResult(ended.ok(), process.log_text().strip())
