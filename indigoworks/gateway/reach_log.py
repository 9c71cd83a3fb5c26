"""Log of which servers a gateway does not reach, for requests and for orders."""

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_view import PeerView
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.ownership.leadership import Leadership
from indigoworks.ownership.server_reach import ServerReach
from indigoworks.reach.path_monitor import PathMonitor
from indigoworks.servers.server_list import ServerList


class ReachLog:
    """Writes a line with each period in which a server is out of reach, and one when all are back.

    Compared over all gateways, the lines show whether servers are gone, one gateway has lost its
    path to them, or a leader gives orders that reach nobody.
    """

    def __init__(
        self,
        server_stats: ServerStats,
        servers: ServerList,
        path: PathMonitor,
        orders: ServerReach,
        leadership: Leadership,
        peers: PeerView,
        clock: Clock,
    ) -> None:
        self._server_stats = server_stats
        self._servers = servers
        self._path = path
        self._orders = orders
        self._leadership = leadership
        self._peers = peers
        self._clock = clock
        self._had_failures = False

    def write(self) -> None:
        """Write the line of this period if there is anything to tell."""
        out_of_reach = len(self._server_stats.down.failed())
        orders_failing = len(self._orders.suspect_servers())
        has_failures = bool(self._path.is_lost or out_of_reach or orders_failing)
        if not has_failures and not self._had_failures:
            return
        self._had_failures = has_failures
        answered_ago_s = self._clock.now() - self._server_stats.newest_response_s()
        log_message(
            message_type="reach:summary",
            level="WARNING" if has_failures else "INFO",
            servers=sum(1 for _ in self._servers.listed()),
            is_path_lost=self._path.is_lost,
            out_of_reach=out_of_reach,
            orders_failing=orders_failing,
            answered_ago_s=None if answered_ago_s == float("inf") else round(answered_ago_s, 3),
            leads=self._leadership.may_act(),
            peers=sum(1 for _ in self._peers.live_reports()),
        )
