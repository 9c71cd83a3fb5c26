"""Typed errors of the row store."""

from indigoworks.common.errors import IndigoworksError


class StoreError(IndigoworksError):
    """The store gave no usable answer."""


class StoreRefused(StoreError):
    """The store did nothing: it is overloaded, or said that it is out of service."""


class StoreUnreachable(StoreError):
    """No answer came. A write may have been made, or may be made seconds later."""


class HistoryGone(StoreError):
    """The feed no longer reaches back so far: read the table whole and follow from there."""


class ConditionFailed(StoreError):
    """A row has another version than the transaction expected; nothing was written."""
