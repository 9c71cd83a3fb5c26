"""The list of servers as this process follows it."""

from collections.abc import Iterable

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks.rowstore.store_version import StoreVersion
from indigoworks.servers.cold_servers import ColdServers
from indigoworks.servers.replaced_servers import ReplacedServers
from indigoworks.servers.replacement_evidence import ReplacementEvidence
from indigoworks.servers.server_notice import ServerNotice
from indigoworks.servers.server_notices import ServerNotices
from indigoworks.servers.server_record import ServerRecord
from indigoworks.servers.zone_evacuations import ZoneEvacuations

REMEMBERED_S = 60.0
"""How long a server that left the list can still be looked up."""

TROUBLE_HEARTBEATS = 2
"""Heartbeats within which every living server is back in the list after a trouble of the store."""

LATE_TROUBLE_S = 1.0
"""A call that fails is noticed so late after the trouble began."""

TROUBLE_MARGIN_S = 1.0
"""Added to that time."""

MAX_SETTLE_S = 2.2
"""No longer than that, whatever the heartbeat: a living server is back in the list within about two
seconds (the users' word), and one that is still missing is gone. A gateway that was cut off itself
has 3 s until it must send nothing to a server whose leaving it missed, and the first calls after
the cut may still fail for half a second."""

MOVE_AWAY_S = 1.0
"""After this process has learnt of an evacuation, owners in the zone serve their keys for so long
while these move, and so does an owner whose answer says that it leaves while its entry does not:
2 s after it nothing may be sent there any more. An evacuation must be in force everywhere 5 s after
it was accepted; processes that read it last do so about 1 s after that."""


class ServerList:
    """Servers by id; see `ServerSource` for what counts as usable.

    :param heartbeat_s: time in which each server renews its entry, in seconds.
    :ivar evacuations: zones whose servers must get no new work.
    :ivar cold: servers that bear few requests a second for a while.
    :ivar notices: what servers asked for in their answers.
    """

    def __init__(self, health: StoreHealth, heartbeat_s: float, clock: Clock) -> None:
        self.evacuations = ZoneEvacuations(clock)
        self.cold = ColdServers(self.evacuations, clock)
        self.notices = ServerNotices(clock)
        self._health = health
        self.set_heartbeat(heartbeat_s)
        self._clock = clock
        self._listed: dict[str, ServerRecord] = {}
        self._vanished: dict[str, tuple[ServerRecord, float]] = {}
        self._replaced = ReplacedServers()
        self._first_versions: dict[str, StoreVersion] = {}
        self._by_service: dict[str, dict[str, ServerRecord]] = {}
        self._services_at: dict[str, str] = {}

    # ---- changes ----

    def set_heartbeat(self, heartbeat_s: float) -> None:
        """Take note of the time in which servers renew their entries."""
        self._settle_s = min(TROUBLE_HEARTBEATS * heartbeat_s + TROUBLE_MARGIN_S, MAX_SETTLE_S)

    def put(self, record: ServerRecord) -> None:
        """Take a new or changed entry."""
        known = self._listed.get(record.server_id)
        if known is not None and known.version >= record.version:
            return
        earlier = self.get(record.server_id)
        if earlier is not None and record.is_older_word_than(earlier):
            self._note_older_word(record, earlier)
            return
        if earlier is not None and 0 < earlier.started_ms < record.started_ms:
            # The wishes and the end of another life concern this one no more.
            self.notices.forget(record.server_id)
            self._replaced.forget(record.server_id)
        self._listed[record.server_id] = record
        self._vanished.pop(record.server_id, None)
        self.cold.record_reported(record.server_id, record.warm_up_left_s)
        self._first_versions.setdefault(record.server_id, record.version)
        self._by_service.setdefault(record.service, {})[record.server_id] = record
        self._services_at[record.address.host] = record.service
        if known is None or known.is_draining != record.is_draining:
            self._log("server:listed", record, is_draining=record.is_draining)

    def _note_older_word(self, record: ServerRecord, known: ServerRecord) -> None:
        is_vanished = known.server_id in self._vanished
        if is_vanished or known.is_draining != record.is_draining:
            self._log("server:kept", known, is_vanished=is_vanished, is_draining=known.is_draining)

    def remove(self, server_id: str) -> None:
        """Take note that an entry vanished."""
        record = self._listed.pop(server_id, None)
        if record is None:
            return
        self._vanished[server_id] = (record, self._clock.now())
        self._log("server:vanished", record, store_trouble_age_s=self._health.trouble_age_s())

    def keep_only(self, server_ids: set[str]) -> None:
        """Remove what a whole reading of the list no longer holds."""
        for server_id in [each for each in self._listed if each not in server_ids]:
            self.remove(server_id)

    def record_replaced(self, server_id: str, by_server_id: str, sign: ReplacementEvidence) -> None:
        """Take note that another server answers at the address of `server_id`: it is gone."""
        self._replaced.add(server_id, by_server_id, sign)

    def record_notice(self, server_id: str, notice: ServerNotice) -> None:
        """Take what a server asks for in an answer."""
        record = self.get(server_id)
        if record is not None:
            self.notices.record(record, notice)

    def record_no_limit(self, server_id: str) -> None:
        """Take note that an answer of a server names no limit."""
        record = self.get(server_id)
        if record is not None:
            self.notices.limits.record_no_limit(record)

    # ---- questions ----

    def is_gone(self, server_id: str) -> bool:
        """Tell whether the server's process is known to have ended."""
        if server_id in self._replaced:
            return True
        record = self.get(server_id)
        holder = None if record is None else self.holder_of_address(record)
        if holder is None:
            return False
        self._replaced.tell(server_id, holder.server_id, ReplacementEvidence.LIST)
        return True

    def is_listed(self, server_id: str) -> bool:
        """Tell whether the list has the server's entry."""
        return server_id in self._listed

    def usable(self, service: str) -> Iterable[ServerRecord]:
        """Return the servers of `service` that may get new work."""
        records = self._by_service.get(service, {})
        return [record for record in records.values() if self.is_usable(record.server_id)]

    def known(self, service: str) -> Iterable[ServerRecord]:
        """Return the servers of `service` that are listed or were so a short time ago."""
        return self._by_service.get(service, {}).values()

    def listed(self) -> Iterable[ServerRecord]:
        """Return all entries of the list, leaving servers included."""
        return self._listed.values()

    def is_usable(self, server_id: str) -> bool:
        """Tell whether the server may get new work."""
        record = self.get(server_id)
        if record is None or self.evacuations.is_evacuated(record.zone):
            return False
        if self.notices.says_leaving(server_id):
            return False
        return self._is_in_service(server_id)

    def is_cold(self, server_id: str) -> bool:
        """Tell whether a server bears few requests a second for a while."""
        record = self.get(server_id)
        return record is not None and self.cold.is_cold(record)

    def has_resting(self) -> bool:
        """Tell whether any server may rest: a quick look that spares the one at each server."""
        return self.notices.rests.has_any()

    def rest_left_s(self, server_id: str) -> float:
        """Return for how much longer a server wants no request from this process; 0: it takes
        them."""
        return self.notices.rests.left_s(server_id)

    def rest_left_s_for_many(self, server_id: str) -> float:
        """Return for how much longer several gateways are asked for rest by a server; 0: none or
        one is."""
        return self.notices.rests.left_s_for_many(server_id)

    def limit_per_s(self, server_id: str) -> float | None:
        """Return the requests a second that are passed on to a server, by its word of late; None:
        it names no limit, or nobody has heard from it for long."""
        limits = self.notices.limits
        if not limits.has_any() or not limits.is_confirmed(server_id):
            return None
        return limits.passed_per_s(server_id)

    def is_held_back(self, server_id: str) -> bool:
        """Tell whether what a server asked for in its answers forbids a request to it now."""
        if not self.notices.has_any():
            return False
        if self.rest_left_s(server_id) > 0:
            return True
        return self.notices.says_leaving(server_id) and not self.may_serve_own_keys(server_id)

    def may_serve_own_keys(self, server_id: str) -> bool:
        """Tell whether an owner may get requests for its keys until these have moved.

        In an evacuation a zone's owners all leave at once, and a server may say in an answer that
        it leaves before the list does; cutting them off before their keys are granted elsewhere
        would leave these unserved for the time of the moves.
        """
        if self.is_usable(server_id):
            return True
        record = self.get(server_id)
        if record is None or not self._is_in_service(server_id):
            return False
        evacuated_for_s = self.evacuations.evacuated_for_s(record.zone)
        return max(evacuated_for_s, self.notices.leaving_for_s(server_id)) < MOVE_AWAY_S

    def get(self, server_id: str) -> ServerRecord | None:
        """Return a server that is listed or was so a short time ago, leaving ones included."""
        if server_id in self._listed:
            return self._listed[server_id]
        vanished = self._vanished.get(server_id)
        return None if vanished is None else vanished[0]

    def holder_of_address(self, record: ServerRecord) -> ServerRecord | None:
        """Return the listed server that came to the address of `record` after it, if there is one.

        The entry of an ended server stays listed for some heartbeats beside that of the one in its
        place: only the later says anything of the earlier.
        """
        at_address = [each for each in self._listed.values() if each.address == record.address]
        later = [each for each in at_address if self._came_after(each, record)]
        return max(later, key=lambda each: each.version, default=None)

    def _came_after(self, one: ServerRecord, other: ServerRecord) -> bool:
        first = self._first_versions[one.server_id]
        other_first = self._first_versions.get(other.server_id, other.version)
        # A copy of the store may bring back an entry; where the starts say otherwise none is known.
        may_be_old = one.started_ms == 0 and first.era != other_first.era
        return first > other_first and not may_be_old and not 0 < one.started_ms < other.started_ms

    def service_at(self, host: str) -> str | None:
        """Return the service of the server that was listed last at an address; None: none was."""
        return self._services_at.get(host)

    def is_empty(self) -> bool:
        """Tell whether no server was listed."""
        return not self._listed and not self._vanished

    def forget_old(self) -> None:
        """Forget servers that vanished long ago."""
        earliest_s = self._clock.now() - REMEMBERED_S
        for server_id, (record, at_s) in list(self._vanished.items()):
            if at_s < earliest_s:
                del self._vanished[server_id]
                self._replaced.forget(server_id)
                self._first_versions.pop(server_id, None)
                self.cold.forget(server_id)
                self.notices.forget(server_id)
                self._by_service.get(record.service, {}).pop(server_id, None)
                if self.holder_of_address(record) is None:
                    self._services_at.pop(record.address.host, None)

    def _is_in_service(self, server_id: str) -> bool:
        if server_id in self._replaced:
            return False
        record = self._listed.get(server_id)
        if record is not None:
            return not record.is_draining
        return self._vanished_in_trouble(server_id)

    def _vanished_in_trouble(self, server_id: str) -> bool:
        """An entry that vanished in a time of trouble says nothing until the store settled.

        Trouble that begins later says nothing about it; a call that found the trouble may have
        timed out a little after the entry vanished.
        """
        vanished = self._vanished.get(server_id)
        if vanished is None or vanished[0].is_draining:
            return False
        if self.holder_of_address(vanished[0]) is not None:
            return False
        # A trouble of which a relay tells after the entry vanished may be that of its own path
        # alone: the server has been taken for leaving, and stays so.
        trouble_s = self._health.last_trouble_before(
            vanished[1] + LATE_TROUBLE_S, reported_by_s=vanished[1]
        )
        if trouble_s is None or vanished[1] - trouble_s > self._settle_s:
            return False
        latest_s = self._health.last_trouble_s
        return latest_s is not None and self._clock.now() - latest_s <= self._settle_s

    def _log(self, message_type: str, record: ServerRecord, **fields: object) -> None:
        log_message(
            message_type=message_type,
            server=record.server_id,
            service=record.service,
            address=str(record.address),
            version=str(record.version),
            **fields,
        )
