"""Settings of one key."""

from indigoworks.settings.overrides import Overrides


class KeySettings(Overrides):
    """The settings of one key, the lowest level of the tree.

    :ivar own_range: the key gets a range of its own, so that it can move between servers alone.
    """

    own_range: bool | None = None
