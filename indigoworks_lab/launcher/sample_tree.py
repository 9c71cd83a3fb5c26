"""The sample settings tree of the services in sample_services.py."""

from pathlib import Path
from typing import Any

import yaml

TREE_FILE = Path(__file__).parents[2] / "etc" / "amman.tree.yaml"


def sample_tree() -> dict[str, Any]:
    """Return the sample tree of Amman.

    :raises OSError: the sample cannot be read.
    """
    tree = yaml.safe_load(TREE_FILE.read_text())
    if not isinstance(tree, dict):
        raise ValueError(f"{TREE_FILE} holds no mapping.")
    return tree
