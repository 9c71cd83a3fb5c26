"""Finds out which router dispatches to a back end."""

from typing import Any

from result import Err, Ok, Result

from indigoworks.common.address import Address
from indigoworks.router.dispatcher_choice import dispatcher_of
from indigoworks.router.router_peer import RouterPeer
from indigoworks.router.server_record import ServerRecord
from indigoworks_lab.demo.json_answer import JsonAnswer
from indigoworks_lab.demo.json_client import JsonClient
from indigoworks_lab.load.load_errors import LoadError

STATUS_OK = 200


async def find_dispatcher(node: Address, server_name: str) -> Result[str, LoadError]:
    """Return the name of the router that dispatches to `server_name`.

    :param node: HTTP address of any router or controller.
    """
    client = JsonClient()
    servers = await client.get(node, "/admin/v1/servers")
    routers = await client.get(node, "/admin/v1/routers")
    if servers.status != STATUS_OK or routers.status != STATUS_OK:
        return Err(_failed(f"The members could not be read at {node}.", servers, routers))
    records = [_server(each) for each in servers.body["servers"] if each["name"] == server_name]
    peers = [_peer(each["member"]) for each in routers.body["routers"]]
    chosen = dispatcher_of(records[0], peers) if records else None
    if chosen is None:
        return Err(_failed(f"Nobody dispatches to {server_name}.", servers, routers))
    return Ok(chosen.name)


def _server(body: dict[str, Any]) -> ServerRecord:
    return ServerRecord(
        name=body["name"],
        incarnation=body["incarnation"],
        service=body["service"],
        zone=body["zone"],
        address=Address(body["host"], body["port"]),
        slots=body["slots"],
        connections=body["connections"],
    )


def _peer(body: dict[str, Any]) -> RouterPeer:
    return RouterPeer(
        name=body["name"],
        incarnation=body["incarnation"],
        zone=body["zone"],
        address=Address(body["host"], body["control_port"]),
    )


def _failed(message: str, *answers: JsonAnswer) -> LoadError:
    return LoadError(
        f"{message} Answers: {answers}", "See the logs of the processes in the log directory."
    )
