"""What makes two tries the same request."""

from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class RequestContent:
    """The parts of a request that come again with each try of it.

    Ids, headers and deadlines differ from try to try and are left out. The caller is part of it: a
    page that many read must not be refused to all of them for what one of them brought about.

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
        and all requests for its path where it has a query.

        A harmful request may come with another query each time. Only while no request for the path
        is served, whatever its query, crashes of several queries add up.
        """
        path, mark, _ = self.target.partition("?")
        return (self, replace(self, target=path)) if mark else (self,)
