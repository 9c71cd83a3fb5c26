"""Settings of one key."""

from indigoworks.settings.overrides import Overrides


class KeySettings(Overrides):
    """The leaf of the tree.

    :ivar own_range: a range of the key space for this key alone, so that it moves by itself.
    """

    own_range: bool | None = None
