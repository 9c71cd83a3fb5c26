"""Operations of the administration API on owners, back ends and members."""

from collections import Counter

from result import Err, Ok, Result

from indigoworks.admin.admin_query import AdminQuery
from indigoworks.admin.bodies.drain_body import DrainBody
from indigoworks.admin.bodies.health_body import HealthBody
from indigoworks.admin.bodies.member_body import MemberBody
from indigoworks.admin.bodies.members_body import MembersBody
from indigoworks.admin.bodies.owners_body import OwnersBody
from indigoworks.admin.bodies.range_body import RangeBody, hexadecimal
from indigoworks.admin.bodies.router_body import RouterBody
from indigoworks.admin.bodies.routers_body import RoutersBody
from indigoworks.admin.bodies.server_body import ServerBody
from indigoworks.admin.bodies.servers_body import ServersBody
from indigoworks.admin.control_plane import OwnershipPlane
from indigoworks.admin.errors import AdminError, BadAdminRequest
from indigoworks.admin.route import Route
from indigoworks.admin.router_presence import RouterPresence
from indigoworks.admin.unknown_names import unknown_service
from indigoworks.wire.control_pb2 import Member, RangeRecord


class OwnershipOperations:
    """Reads the applied state of an OwnershipPlane, and drains back ends through it."""

    def __init__(self, plane: OwnershipPlane) -> None:
        self._plane = plane

    def routes(self) -> dict[tuple[str, ...], dict[str, Route]]:
        """Return the operations with a fixed path, by path and method."""
        return {
            ("owners",): {"GET": Route(self.owners, ("service", "key"))},
            ("servers",): {"GET": Route(self.servers)},
            ("members",): {"GET": Route(self.members)},
            ("routers",): {"GET": Route(self.routers)},
            ("health",): {"GET": Route(self.health)},
        }

    async def owners(self, query: AdminQuery, _body: bytes) -> Result[OwnersBody, AdminError]:
        """Return the ranges of all services, of one service, or the range of one key."""
        service, key = query.text("service"), query.content("key")
        if key is not None and service is None:
            return Err(BadAdminRequest("A key needs its service.", "Give ?service=NAME&key=KEY."))
        if service is not None and service not in (known := self._plane.known_services()):
            return Err(unknown_service(service, known))
        found = Ok(None) if key is None else self._plane.position_of(key)
        if isinstance(found, Err):
            return found
        position = found.unwrap()
        state = self._plane.state()
        ranges = [each for each in state.ranges if _matches(each, service, position)]
        ranges.sort(key=lambda each: (each.service, each.start))
        return Ok(
            OwnersBody(
                view_version=state.last_index,
                place="" if position is None else hexadecimal(position),
                ranges=[RangeBody.of(each) for each in ranges],
            )
        )

    async def servers(self, _query: AdminQuery, _body: bytes) -> Result[ServersBody, AdminError]:
        """Return the registered back ends."""
        state = self._plane.state()
        owned = Counter((each.owner, each.owner_incarnation) for each in state.ranges)
        servers = sorted(state.servers, key=lambda each: (each.name, each.incarnation))
        bodies = [ServerBody.of(each, owned[(each.name, each.incarnation)]) for each in servers]
        return Ok(ServersBody(servers=bodies))

    async def members(self, _query: AdminQuery, _body: bytes) -> Result[MembersBody, AdminError]:
        """Return members and leader of the control group."""
        configuration = self._plane.configuration()
        return Ok(
            MembersBody(
                voters=[MemberBody.of(each) for each in configuration.voters],
                learners=[MemberBody.of(each) for each in configuration.learners],
                leader=_member_body(self._plane.status().leader),
            )
        )

    async def routers(self, _query: AdminQuery, _body: bytes) -> Result[RoutersBody, AdminError]:
        """Return the routers that polled for a view recently."""
        routers = await self._plane.routers()
        bodies = [_router_body(each) for each in sorted(routers, key=lambda r: r.member.name)]
        return Ok(RoutersBody(routers=bodies))

    async def health(self, _query: AdminQuery, _body: bytes) -> Result[HealthBody, AdminError]:
        """Return role and progress of this process."""
        status = self._plane.status()
        return Ok(
            HealthBody(
                member=MemberBody.of(status.member),
                role=status.role,
                generation=status.generation,
                term=status.term,
                leader=_member_body(status.leader),
                commit_index=status.commit_index,
                settings_version=self._plane.state().settings_version,
            )
        )

    async def drain(self, server: str) -> Result[DrainBody, AdminError]:
        """Start draining a back end."""
        drained = await self._plane.drain_server(server)
        return drained.map(lambda _: DrainBody(server=server))


def _matches(record: RangeRecord, service: str | None, position: int | None) -> bool:
    if service is not None and record.service != service:
        return False
    return position is None or record.start <= position <= record.end


def _member_body(member: Member | None) -> MemberBody | None:
    return None if member is None else MemberBody.of(member)


def _router_body(presence: RouterPresence) -> RouterBody:
    return RouterBody(
        member=MemberBody.of(presence.member),
        settings_version=presence.settings_version,
        view_version=presence.view_version,
        since_poll_s=presence.since_poll_s,
    )
