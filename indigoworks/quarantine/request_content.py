"""Content of a request, by which its attempts are recognized."""

from dataclasses import dataclass, replace

ANY_CALLER = ""
"""Caller in content that stands for the attempts of all callers."""


@dataclass(frozen=True, slots=True)
class RequestContent:
    """The parts of a request that are the same in each attempt.

    Ids, headers and deadlines differ between attempts and are left out. Crashes are counted for
    each caller and, with refusals limited in time, for all callers together: a popular page must
    not be refused to everyone because servers crash for other reasons.

    :ivar caller: address of the caller, or the name of its service if a server calls: after a
        crash such a call comes from another server of that service.
    :ivar target: path and query, as sent.
    """

    caller: str
    method: str
    host: str
    target: str
    body: bytes

    def scopes(self) -> tuple["RequestContent", ...]:
        """Return the contents that a crash counts against and a successful run clears.

        These are the request itself; if it has a query, all requests of the caller for the path;
        and the request of any caller, which is the last one. A harmful request may have a different
        query each time: crashes of several queries add up until any request for the path is served.
        """
        path, separator, _ = self.target.partition("?")
        shared = replace(self, caller=ANY_CALLER)
        return (self, replace(self, target=path), shared) if separator else (self, shared)

    @property
    def is_shared(self) -> bool:
        """Return whether it stands for the attempts of all callers."""
        return self.caller == ANY_CALLER
