"""One request of a load."""

from dataclasses import dataclass


@dataclass(frozen=True)
class LoadRequest:
    """A caller's request to one key."""

    request_id: str
    service: str
    key: str
    group: str
    method: str
    body: bytes

    @property
    def path(self) -> str:
        """Return the path under which the request is sent."""
        return f"/v1/{self.service}/{self.key}"
