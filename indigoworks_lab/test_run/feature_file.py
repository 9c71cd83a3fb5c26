"""A feature file, how it is to be run, and how long that took when it was measured."""

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

ALONE_TAG = "@alone"
"""Tag of a feature that needs the machine for itself; a comment below it says why."""

FEATURE_SUFFIX = ".feature"

UNKNOWN_LENGTH_S = 60.0
"""Assumed length of a feature that was never measured: it starts early, so that a long one does
not begin when all others have ended."""


@dataclass(frozen=True)
class FeatureFile:
    """One feature file.

    :ivar name: its path, as behave and KNOWN-RED.txt name it.
    :ivar length_s: measured seconds of its run, the start of its process included.
    :ivar is_alone: no other feature may run at the same time.
    """

    name: str
    length_s: float
    is_alone: bool


def read_features(names: Sequence[str], lengths_s: Mapping[str, float]) -> list[FeatureFile]:
    """Return the features named, or all below the folders named, in the order of their names.

    A name may end with `:LINE`; only the scenario at that line of the file is then run.

    :raises FileNotFoundError: a name is neither a folder nor a feature file.
    """
    found = {name for each in names for name in _expand(each)}
    return [_read(name, lengths_s) for name in sorted(found)]


def read_lengths(path: Path) -> dict[str, float]:
    """Return the measured seconds by feature; empty where there is no file."""
    if not path.exists():
        return {}
    lengths_s: dict[str, float] = json.loads(path.read_text(encoding="utf-8"))
    return lengths_s


def write_lengths(path: Path, lengths_s: Mapping[str, float]) -> None:
    """Write the measured seconds by feature, one a line, in the order of their names."""
    rounded = {name: round(length_s, 1) for name, length_s in sorted(lengths_s.items())}
    path.write_text(json.dumps(rounded, indent=1) + "\n", encoding="utf-8")


def _expand(name: str) -> list[str]:
    path = Path(name)
    if path.is_dir():
        return [str(each) for each in path.rglob(f"*{FEATURE_SUFFIX}")]
    if not _file_of(name).is_file():
        raise FileNotFoundError(name)
    return [name]


def _read(name: str, lengths_s: Mapping[str, float]) -> FeatureFile:
    tags = _tags(_file_of(name).read_text(encoding="utf-8"))
    length_s = lengths_s.get(str(_file_of(name)), UNKNOWN_LENGTH_S)
    return FeatureFile(name, length_s, ALONE_TAG in tags)


def _tags(text: str) -> set[str]:
    """Return the tags that stand before the line of the feature."""
    tags: set[str] = set()
    for line in text.splitlines():
        if line.startswith("@"):
            tags.update(line.split())
        elif line.strip() and not line.lstrip().startswith("#"):
            break
    return tags


def _file_of(name: str) -> Path:
    return Path(name.partition(":")[0])
