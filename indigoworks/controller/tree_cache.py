"""Cache of the parsed settings tree in force."""

from indigoworks.settings import SettingsTree, parse_tree
from indigoworks.wire.control_pb2 import ReplaceSettings


class TreeCache:
    """Parses the settings in force once per version."""

    def __init__(self) -> None:
        self._version = 0
        self._tree: SettingsTree | None = None

    def tree(self, settings: ReplaceSettings) -> SettingsTree | None:
        """Return the tree of `settings`, or None if no tree has been accepted yet."""
        if settings.version != self._version:
            # Only validated trees enter the log, so parsing cannot fail.
            self._tree = parse_tree(settings.tree).unwrap()
            self._version = settings.version
        return self._tree
