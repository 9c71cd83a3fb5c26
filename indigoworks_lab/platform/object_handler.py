"""GET and PUT /objects/{name}."""

from http import HTTPStatus

from indigoworks_lab.platform.rate_limiter import RateLimiter
from indigoworks_lab.platform.service_handler import ServiceHandler


class ObjectHandler(ServiceHandler):
    """Reads and replaces whole objects."""

    def limiter(self) -> RateLimiter:
        """Return the rate limit of the object store."""
        return self.state.object_limiter

    async def get(self, name: str) -> None:
        """Answer with the content, or 404."""
        content = self.state.objects.get(name)
        if content is None:
            await self.answer(HTTPStatus.NOT_FOUND, {"name": name})
            return
        self.set_header("Content-Type", "application/octet-stream")
        await self.answer_bytes(HTTPStatus.OK, content)

    async def put(self, name: str) -> None:
        """Replace the content."""
        self.state.objects[name] = self.request.body
        await self.answer(HTTPStatus.OK, {"name": name})
