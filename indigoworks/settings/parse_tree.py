"""Parses the settings tree and writes it as canonical JSON."""

import json

from pydantic import ValidationError
from result import Err, Ok, Result

from indigoworks.settings.document import read_document
from indigoworks.settings.errors import InvalidSettings
from indigoworks.settings.problem_texts import problems_of
from indigoworks.settings.settings_tree import SettingsTree
from indigoworks.settings.tree_checks import tree_problems

SUBJECT = "settings tree"


def parse_tree(content: bytes) -> Result[SettingsTree, InvalidSettings]:
    """Parse the tree in `content` (YAML or JSON) and check it as a whole."""
    document = read_document(content, SUBJECT)
    if isinstance(document, Err):
        return document
    try:
        tree = SettingsTree.model_validate(document.unwrap())
    except ValidationError as error:
        problems = problems_of(SettingsTree, error)
        return Err(InvalidSettings.from_problems(SUBJECT, problems))
    problems = tree_problems(tree)
    if problems:
        return Err(InvalidSettings.from_problems(SUBJECT, problems))
    return Ok(tree)


def canonical_json(tree: SettingsTree) -> bytes:
    """Return the canonical JSON form of `tree`: set fields only, sorted names, no spaces, UTF-8."""
    fields = tree.model_dump(mode="json", exclude_none=True)
    return json.dumps(
        fields, sort_keys=True, separators=(",", ":"), ensure_ascii=False, allow_nan=False
    ).encode("utf-8")
