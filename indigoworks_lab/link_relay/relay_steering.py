"""The lab's own interface of the relay."""

from collections.abc import Iterable, Mapping
from typing import Any
from urllib.parse import quote

from tornado.escape import json_decode
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from indigoworks.common.address import Address
from indigoworks_lab.link_relay.flow_counts import FlowCounts
from indigoworks_lab.link_relay.flow_faults import FlowFaults
from indigoworks_lab.link_relay.flow_table import SEPARATOR

REQUEST_TIMEOUT_S = 5.0
CUT = FlowFaults(is_cut=True)
HEALTHY = FlowFaults()


class RelaySteering:
    """Cuts and heals links. Failures are raised: the lab cannot go on."""

    def __init__(self, address: Address) -> None:
        self._url = f"http://{address}/lab/links"
        self._client = SimpleAsyncHTTPClient(force_instance=True)

    async def set_flow(self, source: str, destination: str, faults: FlowFaults) -> None:
        """Put `faults` in force for the bytes from `source` to `destination`."""
        name = quote(f"{source}{SEPARATOR}{destination}", safe="")
        await self._client.fetch(
            f"{self._url}/{name}",
            method="POST",
            body=faults.model_dump_json(),
            request_timeout=REQUEST_TIMEOUT_S,
        )

    async def set_links(self, name: str, others: Iterable[str], faults: FlowFaults) -> None:
        """Put `faults` in force between `name` and each of `others`, both ways."""
        for other in others:
            await self.set_flow(name, other, faults)
            await self.set_flow(other, name, faults)

    async def counts(self) -> Mapping[str, FlowCounts]:
        """Return what each flow has carried and held back."""
        answer = await self._client.fetch(self._url, request_timeout=REQUEST_TIMEOUT_S)
        flows: dict[str, Any] = json_decode(answer.body)
        return {name: FlowCounts(**fields["counts"]) for name, fields in flows.items()}
