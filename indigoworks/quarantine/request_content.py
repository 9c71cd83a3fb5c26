"""What makes two tries the same request."""

from dataclasses import dataclass, replace

ANY_CALLER = ""
"""Stands for the caller in what is remembered of a request whoever sends it."""


@dataclass(frozen=True, slots=True)
class RequestContent:
    """The parts of a request that come again with each try of it.

    Ids, headers and deadlines differ from try to try and are left out. Counted are the tries of
    each caller, and, more carefully, those of all: a page that many read must not be refused to all
    of them for servers that end for other reasons.

    :ivar caller: address of the caller; the name of a service where one of its servers calls: such
        a call comes from another server after the first one has ended.
    :ivar target: path and query, as sent.
    """

    caller: str
    method: str
    host: str
    target: str
    body: bytes

    def scopes(self) -> tuple["RequestContent", ...]:
        """Return what a crash is put down to, and what a run that ends well clears: the request,
        all requests of its caller for its path where it has a query, and the request of any caller.

        A harmful request may come with another query each time. Only while no request for the path
        is served, whatever its query, crashes of several queries add up.
        """
        path, mark, _ = self.target.partition("?")
        shared = replace(self, caller=ANY_CALLER)
        return (self, replace(self, target=path), shared) if mark else (self, shared)

    @property
    def is_shared(self) -> bool:
        """Tell whether it stands for the tries of all callers."""
        return self.caller == ANY_CALLER
