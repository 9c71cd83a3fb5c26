"""Commands that query a node."""

from collections.abc import Callable

from result import Err, Result

from indigoworks.cli.admin_client import AdminClient
from indigoworks.cli.node_address import node_url
from indigoworks.cli.pending_command import PendingCommand, Report
from indigoworks.common.errors import IndigoworksError

NodeAction = Callable[[AdminClient], Result[Report, IndigoworksError]]


def query_node(node: object, action: NodeAction) -> PendingCommand:
    """Return a command that runs `action` against the given node.

    :param node: value of --node; None: use the environment variable.
    """

    def run() -> Result[Report, IndigoworksError]:
        url = node_url(node)
        if isinstance(url, Err):
            return url
        return action(AdminClient(url.unwrap()))

    return PendingCommand(run)
