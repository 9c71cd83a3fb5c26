"""Counts what passes between the machines of a run."""

from collections import Counter

DATAGRAM_SENT = "datagrams sent"
DATAGRAM_RECEIVED = "datagrams received"
STORE_READ = "answers of the store"
STORE_WRITE = "transactions"
ORDER = "orders"

Kind = tuple[str, str]
"""What it is, and the node."""


class TrafficCounter:
    """Messages and bytes by kind and node.

    :ivar bytes: payloads of datagrams, values of the rows in answers of the store.
    """

    def __init__(self) -> None:
        self.messages: Counter[Kind] = Counter()
        self.bytes: Counter[Kind] = Counter()

    def add(self, what: str, node: str, size_bytes: int = 0) -> None:
        """Count one message."""
        self.messages[(what, node)] += 1
        self.bytes[(what, node)] += size_bytes

    def clear(self) -> None:
        """Begin anew."""
        self.messages.clear()
        self.bytes.clear()
