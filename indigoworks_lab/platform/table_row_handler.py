"""GET /tables/rows/{key}."""

import base64
from http import HTTPStatus

from indigoworks_lab.platform.rate_limiter import RateLimiter
from indigoworks_lab.platform.service_handler import ServiceHandler


class TableRowHandler(ServiceHandler):
    """Reads one row."""

    def limiter(self) -> RateLimiter:
        """Return the rate limit of the table service."""
        return self.state.table_limiter

    async def get(self, key: str) -> None:
        """Answer with the row, or 404."""
        row = self.state.tables.read(key)
        if row is None:
            await self.answer(HTTPStatus.NOT_FOUND, {"key": key})
            return
        value = base64.b64encode(row.value).decode("ascii")
        fields = {"key": row.key, "value": value, "version": row.version}
        await self.answer(HTTPStatus.OK, fields)
