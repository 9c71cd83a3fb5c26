"""POST /tables/transact."""

from http import HTTPStatus

from pydantic import ValidationError

from indigoworks_lab.platform.rate_limiter import RateLimiter
from indigoworks_lab.platform.service_handler import ServiceHandler
from indigoworks_lab.platform.transaction_request import TransactionRequest


class TransactHandler(ServiceHandler):
    """Applies conditional writes, all or none."""

    def limiter(self) -> RateLimiter:
        """Return the rate limit of the table service."""
        return self.state.table_limiter

    async def post(self) -> None:
        """Answer 200 where applied, 409 where a row has another version, 400 for a bad body."""
        try:
            request = TransactionRequest.model_validate_json(self.request.body)
        except ValidationError as error:
            await self.answer(HTTPStatus.BAD_REQUEST, {"message": str(error)})
            return
        is_applied = self.state.tables.transact(request.row_writes())
        status = HTTPStatus.OK if is_applied else HTTPStatus.CONFLICT
        await self.answer(status, {"is_applied": is_applied})
