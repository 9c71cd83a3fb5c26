"""Versions of the store, as steps write them."""

from indigoworks.rowstore.store_version import StoreVersion


def at(counter, era=0):
    """Return the version of a counter."""
    return StoreVersion(era, counter)
