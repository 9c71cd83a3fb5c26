"""Follows the platform's tables: configuration, evacuations and servers."""

from collections.abc import Callable, Sequence

from eliot import log_message
from result import Ok

from indigoworks.common.clock import Clock
from indigoworks.gateway.gateway_settings import GatewaySettings
from indigoworks.gateway.platform_ports import PlatformPorts
from indigoworks.relay.relay_selector import PROBE_WAIT_S
from indigoworks.routes.configuration import Configuration
from indigoworks.routes.configuration_holder import ConfigurationHolder
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.store_version import NO_VERSION, StoreVersion
from indigoworks.rowstore.table_follower import TableFollower
from indigoworks.rowstore.table_part import UNDIVIDED
from indigoworks.servers.cold_servers import ColdLimit
from indigoworks.servers.server_list import ServerList

FEED_WAIT_S = 10.0
"""Longest poll of the configuration feed; it is reread when the feed of servers fails, and when a
peer is ahead."""

LARGE_GROUP_FEED_WAIT_S = 25.0
"""Longest poll of the configuration feed in a large group, for gateways that poll a relay, where a
waiting poll costs nothing and ends when the relay fails, and for gateways that have no relay: 195
gateways make 8 calls a second with it, and 20 with the shorter poll."""

WATCH_WAIT_S = 0.85
"""Longest poll of the configuration feed at relays and at gateways that watch it for their peers.

If a response of the store is lost, or a connection has gone silent, none of the others sees a peer
ahead until this poll has failed and been repeated. That takes this time, 1 s without a response and
0.1 s until the next call. Peers hear of it after 0.3 s at most, tolerate the lag for 0.4 to 0.7 s,
and read over a new connection: less than 3 s together, after which every gateway must be up to date
again. A change that comes later takes at most 1.5 s of `configuration_apply_s`, 2 s by default."""

CONFIGURATION_PACE_SHARE = 0.3
"""Shortest time from a configuration to the next poll for one in a large group, as a share of the
time within which it must be in force. If configurations arrive three times a second, a gateway then
skips some that are replaced at once, at least 4 of 12 within 4 s; without it, it reads each."""

RELAYED_PACE_SHARE = 0.1
"""The same share at relays and at gateways behind them: the two pauses add up, and only relays call
the store. With the longer pause, configurations of 2,533 routes in quick succession take almost the
whole 2 s of the default to be in force at gateways on links of 5 Mbit/s."""

SERVERS_PACE_SHARE = 0.1
MAX_SERVERS_PACE_S = 0.2
"""Shortest time from rows of servers to the next poll for them, as a share of the drain time, and
its upper bound: when all servers start, their entries arrive one by one."""


class PlatformSubsystem:
    """Follows the operator's table (configuration, evacuations) and the table of servers.

    :ivar operator_row_version: version of the newest operator row applied here.
    :param probe_wait_s: returns the longest poll of the feed of servers, which probes the path to
        the store for all feeds.
    :param is_large_group: returns whether there are so many gateways that calls to the store must
        be limited.
    :param is_relayed: returns whether this gateway is a relay or polls one.
    :param is_watching: returns whether peers rely on this gateway to notice a new configuration.
    """

    def __init__(
        self,
        ports: PlatformPorts,
        settings: GatewaySettings,
        clock: Clock,
        probe_wait_s: Callable[[], float] = lambda: PROBE_WAIT_S,
        is_large_group: Callable[[], bool] = lambda: False,
        is_relayed: Callable[[], bool] = lambda: False,
        is_watching: Callable[[], bool] = lambda: False,
    ) -> None:
        self._ports = ports
        self.configurations = ConfigurationHolder()
        self.servers = ServerList(ports.health, settings.server_heartbeat_s, clock)
        self._bounds_cold_servers = settings.bounds_cold_servers
        self.configurations.on_change(self._take_cold_limits)
        self._drain_s = settings.drain_s
        self._configuration_apply_s = settings.configuration_apply_s
        self._is_large_group = is_large_group
        self._is_relayed = is_relayed
        self._is_watching = is_watching
        self._configuration_row_version = NO_VERSION
        self._has_read_servers = False
        self._written_zones: set[str] = set()
        self.operator_row_version = NO_VERSION
        self._unreadable: dict[str, str] = {}
        self._listeners: list[Callable[[], None]] = []
        self._path_listeners: list[Callable[[], None]] = []
        self.followers = (
            TableFollower(
                ports.store,
                ports.configuration_table,
                lambda: UNDIVIDED,
                self._configuration_wait_s,
                clock,
                self._take_all_operator_rows,
                self._take_operator_rows,
                pace_s=self._configuration_pace_s,
            ),
            TableFollower(
                ports.store,
                ports.servers_table,
                lambda: UNDIVIDED,
                probe_wait_s,
                clock,
                self._take_all_servers,
                self._take_servers,
                on_failure=self._path_failed,
                pace_s=self._servers_pace_s,
            ),
        )
        ports.health.eras.on_new(self._begin_era)

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings; `configuration_apply_s` changes only with a restart."""
        self.servers.set_heartbeat(settings.server_heartbeat_s)
        self._drain_s = settings.drain_s
        self._configuration_apply_s = settings.configuration_apply_s

    def on_store_path_failed(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each failure of the feed that probes the path to the store."""
        self._path_listeners.append(listener)

    def on_servers_changed(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the list of servers."""
        self._listeners.append(listener)

    @property
    def is_loaded(self) -> bool:
        """Return whether configuration and servers have been read."""
        return self._has_read_servers and self.configurations.current() is not None

    def is_keyed(self, service: str) -> bool:
        """Return whether the servers of a service own keys."""
        configuration = self.configurations.current()
        known = None if configuration is None else configuration.services.get(service)
        return known is not None and known.is_keyed

    def operator_position(self) -> StoreVersion:
        """Return the version up to which all operator rows are known here."""
        return self.followers[0].version

    def end_stale_evacuations(self) -> None:
        """End evacuations kept across a new era of the store that were not written again."""
        self.servers.evacuations.end_kept(self._written_zones)

    def _begin_era(self) -> None:
        """Reread all tables; the newest configuration and evacuations stay in force meanwhile."""
        self.servers.evacuations.keep_all()
        for follower in self.followers:
            follower.request_reread()

    def _take_all_operator_rows(self, rows: Sequence[Row]) -> None:
        zones = (self._ports.read_evacuated_zone(row.key) for row in rows)
        self._written_zones = {zone for zone in zones if zone is not None}
        self.servers.evacuations.keep_only(self._written_zones)
        self._take_operator_rows(rows)

    def _take_operator_rows(self, rows: Sequence[Row]) -> None:
        for row in rows:
            self.operator_row_version = max(self.operator_row_version, row.version)
            self._take_evacuation(row)
        self._take_configuration(rows)

    def _take_evacuation(self, row: Row) -> None:
        zone = self._ports.read_evacuated_zone(row.key)
        if zone is None:
            return
        if row.is_removed:
            self._written_zones.discard(zone)
            self.servers.evacuations.end(zone)
        else:
            self._written_zones.add(zone)
            self.servers.evacuations.begin(zone)
        self._notify()

    def _take_configuration(self, rows: Sequence[Row]) -> None:
        """Put the newest readable configuration of `rows` in force.

        The others are not parsed: a feed that is behind delivers every version, and parsing 2,500
        routes takes 0.04 s on a small machine (measured between two versions of one response).
        """
        written = [each for each in rows if each.key == self._ports.configuration_key]
        for row in sorted(written, key=lambda each: each.version, reverse=True):
            if row.version <= self._configuration_row_version:
                return
            if row.is_removed:
                continue
            result = self._ports.read_configuration(row.value)
            if isinstance(result, Ok):
                self._configuration_row_version = row.version
                self._put_in_force(result.unwrap())
                return
            log_message(
                message_type="configuration:refused",
                level="ERROR",
                row_version=str(row.version),
                reason=str(result.unwrap_err()),
            )

    def _put_in_force(self, configuration: Configuration) -> None:
        current = self.configurations.current()
        if current is not None and configuration.version < current.version:
            log_message(
                message_type="configuration:kept",
                version=current.version,
                written=configuration.version,
            )
        self.configurations.put_in_force(configuration)

    def _take_cold_limits(self, configuration: Configuration) -> None:
        if not self._bounds_cold_servers:
            return
        limits = {
            each.name: ColdLimit(each.cold_s, each.cold_requests_per_s)
            for each in configuration.services.values()
            if each.cold_requests_per_s > 0
        }
        self.servers.cold.set_limits(limits)

    def _take_all_servers(self, rows: Sequence[Row]) -> None:
        self._take_servers(rows)
        self.servers.keep_only({row.key for row in rows})
        self._has_read_servers = True
        self._notify()

    def _take_servers(self, rows: Sequence[Row]) -> None:
        for row in rows:
            if row.is_removed:
                self._unreadable.pop(row.key, None)
                self.servers.remove(row.key)
                continue
            self._take_server(row)
        self._notify()

    def _take_server(self, row: Row) -> None:
        result = self._ports.read_server(row)
        if isinstance(result, Ok):
            self._unreadable.pop(row.key, None)
            self.servers.put(result.unwrap())
            return
        reason = str(result.unwrap_err())
        if self._unreadable.get(row.key) == reason:
            return
        # Log each cause once: a server rewrites its entry about every second.
        self._unreadable[row.key] = reason
        log_message(
            message_type="server:entry_refused",
            level="ERROR",
            server=row.key,
            row_version=str(row.version),
            reason=reason,
        )

    def _configuration_wait_s(self) -> float:
        if self._is_watching():
            return WATCH_WAIT_S
        return LARGE_GROUP_FEED_WAIT_S if self._is_large_group() else FEED_WAIT_S

    def _configuration_pace_s(self) -> float:
        """Return the shortest time from a configuration to the next poll for one."""
        if not self._is_large_group():
            return 0.0
        share = RELAYED_PACE_SHARE if self._is_relayed() else CONFIGURATION_PACE_SHARE
        return share * self._configuration_apply_s

    def _servers_pace_s(self) -> float:
        return min(SERVERS_PACE_SHARE * self._drain_s, MAX_SERVERS_PACE_S)

    def _path_failed(self) -> None:
        self.followers[0].request_reread()
        for listener in self._path_listeners:
            listener()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
