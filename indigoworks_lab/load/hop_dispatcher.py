"""Finds out which router dispatches to a back end."""

from http import HTTPStatus

from result import Err, Ok, Result

from indigoworks.admin.bodies.member_body import MemberBody
from indigoworks.admin.bodies.routers_body import RoutersBody
from indigoworks.admin.bodies.server_body import ServerBody
from indigoworks.admin.bodies.servers_body import ServersBody
from indigoworks.common.address import Address
from indigoworks.router.dispatcher_choice import dispatcher_of
from indigoworks.router.router_peer import RouterPeer
from indigoworks.router.server_record import ServerRecord
from indigoworks_lab.client.json_answer import JsonAnswer
from indigoworks_lab.client.json_client import JsonClient
from indigoworks_lab.load.load_errors import LoadError


async def find_dispatcher(node: Address, server_name: str) -> Result[str, LoadError]:
    """Return the name of the router that dispatches to `server_name`.

    :param node: HTTP address of any router or controller.
    """
    client = JsonClient()
    servers = await client.get(node, "/admin/v1/servers")
    routers = await client.get(node, "/admin/v1/routers")
    if servers.status != HTTPStatus.OK or routers.status != HTTPStatus.OK:
        return Err(_failed(f"The members could not be read at {node}.", servers, routers))
    known = ServersBody.model_validate(servers.body).servers
    records = [_record(each) for each in known if each.name == server_name]
    peers = [_peer(each.member) for each in RoutersBody.model_validate(routers.body).routers]
    chosen = dispatcher_of(records[0], peers) if records else None
    if chosen is None:
        return Err(_failed(f"Nobody dispatches to {server_name}.", servers, routers))
    return Ok(chosen.name)


def _record(server: ServerBody) -> ServerRecord:
    return ServerRecord(
        name=server.name,
        incarnation=server.incarnation,
        service=server.service,
        zone=server.zone,
        address=Address(server.host, server.port),
        slots=server.slots,
        connections=server.connections,
    )


def _peer(router: MemberBody) -> RouterPeer:
    return RouterPeer(
        name=router.name,
        incarnation=router.incarnation,
        zone=router.zone,
        address=Address(router.host, router.control_port),
    )


def _failed(message: str, *answers: JsonAnswer) -> LoadError:
    return LoadError(
        f"{message} Answers: {answers}", "See the logs of the processes in the log directory."
    )
