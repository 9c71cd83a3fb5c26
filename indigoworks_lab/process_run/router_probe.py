"""One call to one router, with the headers of its answer."""

from tornado.httpclient import HTTPClientError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from indigoworks_lab.launcher.router_plan import RouterPlan

TIMEOUT_S = 5.0
STATUS_NOT_RUN = 503


class RouterProbe:
    """Asks whether a router forwards, or refuses as one without a view in force must."""

    def __init__(self, service: str) -> None:
        self._service = service
        self._client = SimpleAsyncHTTPClient(force_instance=True)

    async def refuses(self, router: RouterPlan, key: str) -> bool:
        """Return whether it answers not-run and names a time to come back after."""
        url = f"http://{router.http}/v1/{self._service}/{key}"
        try:
            answer = await self._client.fetch(url, request_timeout=TIMEOUT_S, raise_error=False)
        except (HTTPClientError, OSError):
            return False
        outcome = answer.headers.get("Indigoworks-Outcome", "")
        return (
            answer.code == STATUS_NOT_RUN
            and outcome == "not-run"
            and float(answer.headers.get("Retry-After", "0")) > 0
        )
