"""The server list as this process follows it in the store."""

from collections.abc import Iterable

from indigoworks.common.clock import Clock
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks.servers.address_holders import AddressHolders
from indigoworks.servers.cold_servers import ColdServers
from indigoworks.servers.replaced_servers import ReplacedServers
from indigoworks.servers.replacement_evidence import ReplacementEvidence
from indigoworks.servers.server_log import log_server
from indigoworks.servers.server_notice import ServerNotice
from indigoworks.servers.server_notices import ServerNotices
from indigoworks.servers.server_record import ServerRecord
from indigoworks.servers.unconfirmed_entries import UnconfirmedEntries
from indigoworks.servers.zone_evacuations import ZoneEvacuations

RETENTION_S = 60.0
"""Time for which a server that left the list can still be looked up."""

TROUBLE_HEARTBEATS = 2
"""Heartbeats within which every running server is listed again after trouble of the store."""

TROUBLE_DETECTION_S = 1.0
"""Longest time from the start of trouble of the store to the first failed call that shows it."""

TROUBLE_MARGIN_S = 1.0
"""Time added to TROUBLE_HEARTBEATS heartbeats."""

MAX_SETTLE_S = 2.2
"""Upper bound of heartbeats and margin: a running server must be listed again within about 2 s, so
one that is still missing is gone. A gateway that was cut off itself has 3 s until it must not send
to a server whose leaving it missed, and the first calls after the cut may still fail for 0.5 s."""

MOVE_AWAY_S = 1.0
"""Time for which an owner still gets requests for its keys while these move: after this process has
read that its zone is evacuated, or after the owner said in a response that it leaves. 2 s after a
server said so nothing may be sent to it. An evacuation must be in force everywhere 5 s after it was
accepted; the last processes read it about 1 s after that."""


class ServerList:
    """Servers by id; `ServerSource` defines which are usable.

    :param heartbeat_s: seconds in which each server renews its entry.
    :ivar evacuations: zones whose servers get no new requests.
    :ivar cold: servers that take few requests a second for a while.
    :ivar notices: what servers asked for in their responses.
    """

    def __init__(self, health: StoreHealth, heartbeat_s: float, clock: Clock) -> None:
        self.evacuations = ZoneEvacuations(clock)
        self.cold = ColdServers(self.evacuations, clock)
        self.notices = ServerNotices(clock)
        self._health = health
        self.set_heartbeat(heartbeat_s)
        self._clock = clock
        self._listed: dict[str, ServerRecord] = {}
        self._addresses = AddressHolders()
        self._vanished: dict[str, tuple[ServerRecord, float]] = {}
        self._replaced = ReplacedServers()
        self._unconfirmed = UnconfirmedEntries()
        self._by_service: dict[str, dict[str, ServerRecord]] = {}
        self._services_at: dict[str, str] = {}

    # ---- changes ----

    def set_heartbeat(self, heartbeat_s: float) -> None:
        """Set the seconds in which servers renew their entries."""
        self._settle_s = min(TROUBLE_HEARTBEATS * heartbeat_s + TROUBLE_MARGIN_S, MAX_SETTLE_S)

    def put(self, record: ServerRecord) -> None:
        """Apply a new or changed entry."""
        known = self._listed.get(record.server_id)
        if known is not None and known.version >= record.version:
            return
        earlier = self.get(record.server_id)
        if earlier is not None and record.is_older_entry_than(earlier):
            self._log_older_entry(record, earlier)
            return
        if not self._unconfirmed.accepts(record, earlier):
            log_server("server:unconfirmed", record)
            return
        if earlier is not None and 0 < earlier.started_ms < record.started_ms:
            # Notices and replacement of an earlier run do not apply to this one.
            self.notices.forget(record.server_id)
            self._replaced.record_new_run(record)
        self._listed[record.server_id] = record
        self._replaced.record_listed(record)
        self._addresses.put(known, record)
        self._vanished.pop(record.server_id, None)
        self.cold.record_reported(record.server_id, record.warm_up_left_s)
        self._by_service.setdefault(record.service, {})[record.server_id] = record
        self._services_at[record.address.host] = record.service
        if known is None or known.is_draining != record.is_draining:
            log_server("server:listed", record, is_draining=record.is_draining)
        for unconfirmed in self._unconfirmed.take_withdrawn(self._listed):
            self._withdraw(self._listed.pop(unconfirmed))

    def _withdraw(self, record: ServerRecord) -> None:
        """Take back an entry that was applied before it was seen that it may not be a server's."""
        self._addresses.remove(record)
        self._addresses.forget(record.server_id)
        self._by_service[record.service].pop(record.server_id, None)
        log_server("server:unconfirmed", record)

    def _log_older_entry(self, record: ServerRecord, known: ServerRecord) -> None:
        is_gone = known.server_id in self._vanished
        if is_gone or known.is_draining != record.is_draining:
            log_server("server:kept", known, is_vanished=is_gone, is_draining=known.is_draining)

    def remove(self, server_id: str) -> None:
        """Record that an entry vanished."""
        self._unconfirmed.forget(server_id)
        record = self._listed.pop(server_id, None)
        if record is None:
            return
        self._addresses.remove(record)
        self._vanished[server_id] = (record, self._clock.now())
        log_server("server:vanished", record, store_trouble_age_s=self._health.trouble_age_s())

    def keep_only(self, server_ids: set[str]) -> None:
        """Remove the entries that a full read of the list no longer contains."""
        self._unconfirmed.keep_only(server_ids)
        for server_id in [each for each in self._listed if each not in server_ids]:
            self.remove(server_id)

    def record_replaced(
        self, record: ServerRecord, by_server_id: str, evidence: ReplacementEvidence
    ) -> None:
        """Record that another server answers at the address of `record`."""
        self._replaced.add(record, by_server_id, evidence)

    def record_notice(self, server_id: str, notice: ServerNotice) -> None:
        """Record what a server asks for in a response."""
        record = self.get(server_id)
        if record is not None:
            self.notices.record(record, notice)

    def record_no_limit(self, server_id: str) -> None:
        """Record that a response of a server names no limit."""
        record = self.get(server_id)
        if record is not None:
            self.notices.limits.record_no_limit(record)

    # ---- queries ----

    def is_gone(self, server_id: str) -> bool:
        """Return whether the server's process is known to have ended.

        Only an answer from each of its addresses shows that. A later entry at the address does not:
        anybody may have written it, and keys of a server that is gone are granted at once.
        """
        return self._replaced.is_gone(server_id)

    def has_successor(self, server_id: str) -> bool:
        """Return whether another server is known or listed at the address of `server_id`."""
        record = self.get(server_id)
        return self.is_gone(server_id) or (
            record is not None and self.holder_of_address(record) is not None
        )

    def is_listed(self, server_id: str) -> bool:
        """Return whether the list has the server's entry."""
        return server_id in self._listed

    def usable(self, service: str) -> Iterable[ServerRecord]:
        """Return the servers of `service` that may get new requests."""
        records = self._by_service.get(service, {})
        return [record for record in records.values() if self.is_usable(record.server_id)]

    def known(self, service: str) -> Iterable[ServerRecord]:
        """Return the servers of `service` that are listed or were until recently."""
        return self._by_service.get(service, {}).values()

    def listed(self) -> Iterable[ServerRecord]:
        """Return all entries of the list, including leaving servers."""
        return self._listed.values()

    def is_usable(self, server_id: str) -> bool:
        """Return whether the server may get new requests."""
        record = self.get(server_id)
        if record is None or self.evacuations.is_evacuated(record.zone):
            return False
        if self.notices.says_leaving(server_id):
            return False
        return self._is_in_service(server_id)

    def is_cold(self, server_id: str) -> bool:
        """Return whether a server takes few requests a second for a while."""
        record = self.get(server_id)
        return record is not None and self.cold.is_cold(record)

    def has_resting(self) -> bool:
        """Return whether any server may rest: a cheap check before those of each server."""
        return self.notices.rests.has_any()

    def rest_left_s(self, server_id: str) -> float:
        """Return the seconds for which a server asks this process for rest; 0: it does not."""
        return self.notices.rests.left_s(server_id)

    def rest_left_s_for_many(self, server_id: str) -> float:
        """Return the seconds for which several gateways are asked for rest by a server; 0: at most
        one is."""
        return self.notices.rests.left_s_for_many(server_id)

    def limit_per_s(self, server_id: str) -> float | None:
        """Return the requests a second to grant to a server, less than the limit that it names;
        None: it names none, or has not confirmed it recently."""
        limits = self.notices.limits
        if not limits.has_any() or not limits.is_confirmed(server_id):
            return None
        return limits.granted_per_s(server_id)

    def is_held_back(self, server_id: str) -> bool:
        """Return whether what a server asked for in its responses forbids a request to it now."""
        if not self.notices.has_any():
            return False
        if self.rest_left_s(server_id) > 0:
            return True
        return self.notices.says_leaving(server_id) and not self.may_serve_own_keys(server_id)

    def may_serve_own_keys(self, server_id: str) -> bool:
        """Return whether an owner may get requests for its keys until these have moved.

        In an evacuation all owners of a zone leave at once, and a server may say in a response that
        it leaves before the list does. If requests stopped before their keys are granted elsewhere,
        these would be unserved during the moves.
        """
        if self.is_usable(server_id):
            return True
        record = self.get(server_id)
        if record is None or not self._is_in_service(server_id):
            return False
        evacuated_for_s = self.evacuations.evacuated_for_s(record.zone)
        return max(evacuated_for_s, self.notices.leaving_for_s(server_id)) < MOVE_AWAY_S

    def get(self, server_id: str) -> ServerRecord | None:
        """Return a server that is listed or was until recently, including leaving ones."""
        if server_id in self._listed:
            return self._listed[server_id]
        vanished = self._vanished.get(server_id)
        return None if vanished is None else vanished[0]

    def holder_of_address(self, record: ServerRecord) -> ServerRecord | None:
        """Return the listed server that took over the address of `record`, if there is one."""
        return self._addresses.successor(record)

    def service_at(self, host: str) -> str | None:
        """Return the service of the server last listed at a host; None: none was."""
        return self._services_at.get(host)

    def is_empty(self) -> bool:
        """Return whether no server is listed or was until recently."""
        return not self._listed and not self._vanished

    def remove_expired(self) -> None:
        """Remove servers that vanished long ago."""
        earliest_s = self._clock.now() - RETENTION_S
        for server_id, (record, at_s) in list(self._vanished.items()):
            if at_s < earliest_s:
                del self._vanished[server_id]
                self._replaced.forget(server_id)
                self._addresses.forget(server_id)
                self.cold.forget(server_id)
                self.notices.forget(server_id)
                self._by_service.get(record.service, {}).pop(server_id, None)
                if self.holder_of_address(record) is None:
                    self._services_at.pop(record.address.host, None)

    def _is_in_service(self, server_id: str) -> bool:
        record = self._listed.get(server_id)
        if record is not None:
            return not record.is_draining and not self._replaced.is_replaced(record)
        return self._vanished_in_trouble(server_id)

    def _vanished_in_trouble(self, server_id: str) -> bool:
        """Return whether an entry vanished during trouble of the store that has not settled yet.

        Later trouble does not count, except that a call which found the trouble may have timed
        out a little after the entry vanished.
        """
        vanished = self._vanished.get(server_id)
        if vanished is None or vanished[0].is_draining or self._replaced.is_replaced(vanished[0]):
            return False
        if self.holder_of_address(vanished[0]) is not None:
            return False
        # Trouble that a relay reports after the entry vanished may concern only the relay's path:
        # the server has counted as leaving, and still does.
        trouble_s = self._health.last_trouble_before(
            vanished[1] + TROUBLE_DETECTION_S, reported_by_s=vanished[1]
        )
        if trouble_s is None or vanished[1] - trouble_s > self._settle_s:
            return False
        latest_s = self._health.last_trouble_s
        return latest_s is not None and self._clock.now() - latest_s <= self._settle_s
