"""Errors of the row store."""

from indigoworks.common.errors import IndigoworksError


class StoreError(IndigoworksError):
    """The store gave no usable response."""

    kind = "store_error"


class StoreRefused(StoreError):
    """The store rejected the call without effect: it is overloaded or out of service."""

    kind = "store_refused"


class StoreUnreachable(StoreError):
    """No response arrived. A write may have been applied, or may be applied seconds later."""

    kind = "store_unreachable"


class HistoryGone(StoreError):
    """The feed no longer has changes that old: read all rows, and follow the feed from there."""

    kind = "history_gone"


class ConditionFailed(StoreError):
    """A row does not have the version that the transaction expected; nothing was written."""

    kind = "condition_failed"


class EraEnded(StoreError):
    """The store was restored from a copy: the call or its response belongs to an earlier era.

    A transaction may have been applied, but to rows that are no longer read.
    """

    kind = "store_era_ended"
