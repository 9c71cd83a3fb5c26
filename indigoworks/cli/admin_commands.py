"""Commands that read the state of the system."""

from urllib.parse import quote

from result import Err, Ok, Result

from indigoworks.admin.bodies.health_body import HealthBody
from indigoworks.admin.bodies.members_body import MembersBody
from indigoworks.admin.bodies.owners_body import OwnersBody
from indigoworks.admin.bodies.resolved_body import ResolvedBody
from indigoworks.admin.bodies.routers_body import RoutersBody
from indigoworks.admin.bodies.servers_body import ServersBody
from indigoworks.cli.admin_client import AdminClient
from indigoworks.cli.pending_command import Report
from indigoworks.cli.report import json_report
from indigoworks.common.errors import IndigoworksError


def read_owners(
    client: AdminClient, service: str | None, key: str | None
) -> Result[Report, IndigoworksError]:
    """Return the ranges and their owners as JSON."""
    owners = client.get("/owners", OwnersBody, {"service": service or "", "key": key or ""})
    return owners.map(json_report)


def read_status(client: AdminClient) -> Result[Report, IndigoworksError]:
    """Return leader, members, back ends and routers as JSON."""
    health = client.get("/health", HealthBody)
    if isinstance(health, Err):
        return health
    members = client.get("/members", MembersBody)
    if isinstance(members, Err):
        return members
    servers = client.get("/servers", ServersBody)
    if isinstance(servers, Err):
        return servers
    routers = client.get("/routers", RoutersBody)
    if isinstance(routers, Err):
        return routers
    sections = {"health": health.unwrap().model_dump(mode="json")}
    for body in (members.unwrap(), servers.unwrap(), routers.unwrap()):
        sections.update(body.model_dump(mode="json"))
    return Ok(json_report(sections))


def explain_key(
    client: AdminClient, service: str, key: str, group: str | None
) -> Result[Report, IndigoworksError]:
    """Return position, range and owner of a key, and the level that sets each setting."""
    owners = client.get("/owners", OwnersBody, {"service": service, "key": key})
    if isinstance(owners, Err):
        return owners
    query: dict[str, str | bytes] = {"service": service, "key": key, "group": group or ""}
    resolved = client.get("/settings/resolved", ResolvedBody, query)
    if isinstance(resolved, Err):
        return resolved
    ranges = owners.unwrap().ranges
    owner = ranges[0].model_dump(mode="json") if ranges else None
    report = {
        "service": service,
        "key": key,
        "path": f"/v1/{service}/{quote(key, safe='')}",
        "group": group or "default",
        "place": owners.unwrap().place,
        "view_version": owners.unwrap().view_version,
        "range": owner,
        "settings_version": resolved.unwrap().version,
        "settings": [each.model_dump(mode="json") for each in resolved.unwrap().values],
    }
    return Ok(json_report(report))
