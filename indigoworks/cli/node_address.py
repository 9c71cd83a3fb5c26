"""Address of the node that an operator's command queries."""

import os
import re

from result import Err, Ok, Result

from indigoworks.cli.errors import Misuse

NODE_VARIABLE = "INDIGOWORKS_NODE"
_NODE = re.compile(r"^https?://[^\s/?#]+/?$")


def node_url(flag: object) -> Result[str, Misuse]:
    """Return the base URL of the node, from the flag or the environment.

    :param flag: value of --node; None if not given.
    """
    given = os.environ.get(NODE_VARIABLE) if flag is None else flag
    if not given:
        return Err(
            Misuse("No node is given.", f"Give --node http://IP:PORT or set {NODE_VARIABLE}.")
        )
    if not isinstance(given, str) or not _NODE.match(given):
        return Err(
            Misuse(
                f"The node {given!r} is not an address.",
                "Give --node http://IP:PORT of a router or controller.",
            )
        )
    return Ok(given.rstrip("/"))
