"""Port to the object store."""

from typing import Protocol

from result import Result

from indigoworks.platform.errors import PlatformError


class ObjectStore(Protocol):
    """Stores whole objects under names in the platform's object store."""

    async def put(self, name: str, content: bytes) -> Result[None, PlatformError]:
        """Store `content` under `name`, replacing any earlier content."""
        ...

    async def get(self, name: str) -> Result[bytes | None, PlatformError]:
        """Return the content under `name`, or None where there is none."""
        ...
