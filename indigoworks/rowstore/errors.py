"""Typed errors of the row store."""

from indigoworks.common.errors import IndigoworksError


class StoreError(IndigoworksError):
    """The store gave no usable answer."""

    kind = "store_error"


class StoreRefused(StoreError):
    """The store did nothing: it is overloaded, or said that it is out of service."""

    kind = "store_refused"


class StoreUnreachable(StoreError):
    """No answer came. A write may have been made, or may be made seconds later."""

    kind = "store_unreachable"


class HistoryGone(StoreError):
    """The feed no longer reaches back so far: read the table whole and follow from there."""

    kind = "history_gone"


class ConditionFailed(StoreError):
    """A row has another version than the transaction expected; nothing was written."""

    kind = "condition_failed"


class EraEnded(StoreError):
    """The store has come back from a copy: the call or its answer belongs to an earlier era.

    A transaction may have been made, in rows that nobody reads any more.
    """

    kind = "store_era_ended"
