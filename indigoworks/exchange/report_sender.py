"""Sends reports to peers and hubs, and handles received ones."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from indigoworks.common.address import Address
from indigoworks.exchange.hub_aggregation import aggregate_reports
from indigoworks.exchange.hub_selector import HubSelector
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_report import AgedReport, PeerReport
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.exchange.report_codec import decode_datagram, encode_forwarded, encode_report
from indigoworks.exchange.report_pace import ReportPace, ReportScope


@dataclass(frozen=True, slots=True)
class ReportSource:
    """Callbacks that make the reports of a process and handle those of peers.

    :ivar make_report: returns the current report; called once for each time reports are sent.
    :ivar has_news: returns whether a report would contain changes.
    :ivar on_report: called with each report that is newer than the last of its peer.
    :ivar leader_node: returns the node that leads the control group.
    """

    make_report: Callable[[], PeerReport]
    has_news: Callable[[], bool]
    on_report: Callable[[PeerReport], None]
    leader_node: Callable[[], str]


class ReportSender:
    """Sends reports to each peer, to the selected hub, or as a hub; receives those of peers.

    :param zone: zone of this process.
    :param send: sends a datagram to an address.
    """

    def __init__(
        self,
        zone: str,
        directory: PeerDirectory,
        table: PeerTable,
        selector: HubSelector,
        source: ReportSource,
        send: Callable[[bytes, Address], None],
    ) -> None:
        self._zone = zone
        self._directory = directory
        self._table = table
        self._selector = selector
        self._source = source
        self._send = send
        self._pace = ReportPace()
        self._is_hub = False
        self._is_member = False
        self._is_urgent = False
        self._forwarded_versions: dict[str, tuple[str, int]] = {}

    def period_s(self) -> float:
        """Return the seconds until the next call of `send_if_due`."""
        return self._pace.period_s(self._directory.count_others(), self._is_aggregated())

    def send_if_due(self) -> None:
        """Send a report if there are changes, or if the last one was sent long enough ago."""
        has_news = self._source.has_news() or self._table.has_members()
        scope = self._pace.decide(
            self._directory.count_others(), has_news, self._is_aggregated(), self._is_urgent
        )
        self._is_urgent = False
        if scope is not ReportScope.NONE:
            self._table.drop_silent()
            self.send_now(is_to_all_zones=scope is ReportScope.ALL)

    def send_soon(self) -> None:
        """Send a report now, or in a large group make the next one that is due go to all peers.

        A leader calls this for each granted range. In a large group a report to each peer for each
        of hundreds of ranges would fill its link and delay its beats.
        """
        if self._directory.has_many():
            self._is_urgent = True
        else:
            self.send_now()

    def send_now(self, is_to_all_zones: bool = True) -> None:
        """Send a report now; key samples go to the leader or to the hub only.

        :param is_to_all_zones: False: only to peers in the own zone, and to the leader.
        """
        hub = self._selector.choose()
        was_member, was_hub = self._is_member, self._is_hub
        self._is_hub = self._table.has_members()
        self._is_member = not self._is_hub and self._selector.is_settled()
        # A member that leaves its hub is in no aggregate from now on; a hub whose members left
        # has to replace its aggregate at all peers.
        has_left = (was_member and not self._is_member) or (was_hub and not self._is_hub)
        is_to_all_zones = is_to_all_zones or has_left
        report = self._source.make_report()
        if self._is_hub:
            self._send_as_hub(report, is_to_all_zones)
        elif hub is None:
            self._send_to_each(report, "", is_to_all_zones)
        else:
            self._report_to(hub, report)
            if not self._is_member:
                self._send_to_each(report, hub.node, is_to_all_zones)
            elif not was_member:
                # From now on the hub's aggregate includes the loads of this process, so that peers
                # must no longer count them from its own report.
                self._send_to_each(replace(report, loads=(), hub=hub.node), hub.node, True)

    def handle_datagram(self, datagram: bytes) -> None:
        """Record the reports in a datagram of a peer."""
        for each in decode_datagram(datagram):
            if self._table.record_report(each.report, each.age_s):
                self._source.on_report(each.report)

    def _is_aggregated(self) -> bool:
        return self._is_hub or self._is_member

    def _report_to(self, hub: PeerAddress, report: PeerReport) -> None:
        """Send the report to the hub; its loads count only once the hub has listed this process.

        Otherwise a hub whose own reports do not arrive would add loads that peers count already.
        """
        is_joining = not self._selector.is_covered()
        self._table.record_sent(report.sequence, () if is_joining else report.loads)
        sent = replace(report, hub=hub.node, is_joining=is_joining)
        self._send(encode_report(sent), hub.address)

    def _send_as_hub(self, report: PeerReport, is_to_all_zones: bool) -> None:
        """Send the aggregate to members and to all peers that get it from no other hub."""
        members = self._table.members()
        aggregate = aggregate_reports(report, members)
        samples = (*report.samples, *self._table.drain_member_samples())
        short = encode_report(replace(aggregate, samples=()))
        hubs = self._table.hub_reports()
        for_members = short + encode_forwarded(self._not_forwarded(hubs))
        for_leader = encode_report(replace(aggregate, samples=samples)) if samples else short
        names = {each.report.node for each in members}
        leader = self._source.leader_node()
        for peer in self._directory.others():
            if peer.node in names:
                self._send(for_members, peer.address)
            elif peer.node == leader:
                self._send(for_leader, peer.address)
            elif self._is_in_scope(peer, is_to_all_zones) and self._is_served_here(peer):
                self._send(short + self._forwarded_for(peer, hubs), peer.address)

    def _is_served_here(self, peer: PeerAddress) -> bool:
        return self._selector.has_led() or not self._table.is_aggregated(peer.node)

    def _not_forwarded(self, hubs: list[AgedReport]) -> list[AgedReport]:
        """Return the reports of other hubs that have not been forwarded to members yet."""
        newer = []
        for each in hubs:
            version = each.report.boot, each.report.sequence
            if self._forwarded_versions.get(each.report.node) != version:
                self._forwarded_versions[each.report.node] = version
                newer.append(each)
        return newer

    def _forwarded_for(self, peer: PeerAddress, hubs: list[AgedReport]) -> bytes:
        """Return the reports of further hubs in a peer's zone, to be appended to a datagram.

        A zone has several hubs only while links in it are cut; they may not hear each other.
        """
        further = [
            each
            for each in hubs
            if each.report.node != peer.node
            and self._directory.zone_of(each.report.node) == peer.zone != self._zone
        ]
        return encode_forwarded(further) if further else b""

    def _send_to_each(self, report: PeerReport, hub: str, is_to_all_zones: bool) -> None:
        """Send a report to each peer except `hub`, which gets one of its own."""
        leader = self._source.leader_node()
        short = encode_report(replace(report, samples=()))
        has_samples = bool(report.samples) and not hub
        for peer in self._directory.others():
            is_leader = peer.node == leader
            if peer.node != hub and (is_leader or self._is_in_scope(peer, is_to_all_zones)):
                datagram = encode_report(report) if is_leader and has_samples else short
                self._send(datagram, peer.address)

    def _is_in_scope(self, peer: PeerAddress, is_to_all_zones: bool) -> bool:
        return is_to_all_zones or peer.zone == self._zone
