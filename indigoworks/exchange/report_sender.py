"""Who gets which report."""

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
    """What a process tells, and what it does with what it is told.

    :ivar make_report: returns the report of this moment; called once for each sending.
    :ivar has_news: tells whether a report would say something new.
    :ivar on_report: called with each report that is newer than the last of its peer.
    :ivar leader_node: returns the node that leads the control group.
    """

    make_report: Callable[[], PeerReport]
    has_news: Callable[[], bool]
    on_report: Callable[[PeerReport], None]
    leader_node: Callable[[], str]


class ReportSender:
    """Sends reports to each peer, to the hub that sums them up, or as a hub; takes those of peers.

    :param zone: of this process.
    :param send: sends a datagram to an address.
    """

    def __init__(
        self,
        zone: str,
        directory: PeerDirectory,
        table: PeerTable,
        choice: HubSelector,
        source: ReportSource,
        send: Callable[[bytes, Address], None],
    ) -> None:
        self._zone = zone
        self._directory = directory
        self._table = table
        self._choice = choice
        self._source = source
        self._send = send
        self._pace = ReportPace()
        self._is_hub = False
        self._is_summed = False
        self._is_urgent = False
        self._forwarded: dict[str, tuple[str, int]] = {}

    def period_s(self) -> float:
        """Return the seconds until the next call of `send_if_due`."""
        return self._pace.period_s(self._directory.count_others(), self._is_paced())

    def send_if_due(self) -> None:
        """Send a report where there is news, or the last was sent long enough ago."""
        has_news = self._source.has_news() or self._table.has_members()
        reach = self._pace.decide(
            self._directory.count_others(), has_news, self._is_paced(), self._is_urgent
        )
        self._is_urgent = False
        if reach is not ReportScope.NONE:
            self._table.drop_silent()
            self.send_now(is_to_all_zones=reach is ReportScope.ALL)

    def send_soon(self) -> None:
        """Send a report now, or to all with the next one that is due where there are many peers.

        A leader calls this for each range that is granted. A report to each of many peers for each
        of hundreds of ranges would fill its link, and nobody would hear its beats any more.
        """
        if self._directory.has_many():
            self._is_urgent = True
        else:
            self.send_now()

    def send_now(self, is_to_all_zones: bool = True) -> None:
        """Send a report; samples of keys go to the leader, or to the hub.

        :param is_to_all_zones: False: only to peers in the own zone, and to the leader.
        """
        hub = self._choice.choose()
        was_summed, was_hub = self._is_summed, self._is_hub
        self._is_hub = self._table.has_members()
        self._is_summed = not self._is_hub and self._choice.is_settled()
        # Who leaves a hub is in nobody's sums from this moment; who is left should drop the sums.
        has_left = (was_summed and not self._is_summed) or (was_hub and not self._is_hub)
        is_to_all_zones = is_to_all_zones or has_left
        report = self._source.make_report()
        if self._is_hub:
            self._send_as_hub(report, is_to_all_zones)
        elif hub is None:
            self._send_to_each(report, "", is_to_all_zones)
        else:
            self._report_to(hub, report)
            if not self._is_summed:
                self._send_to_each(report, hub.node, is_to_all_zones)
            elif not was_summed:
                # From now on the sums of the hub hold what each peer has counted of this process.
                self._send_to_each(replace(report, loads=(), hub=hub.node), hub.node, True)

    def handle_datagram(self, datagram: bytes) -> None:
        """Take a datagram of a peer."""
        for each in decode_datagram(datagram):
            if self._table.record_report(each.report, each.age_s):
                self._source.on_report(each.report)

    def _is_paced(self) -> bool:
        return self._is_hub or self._is_summed

    def _report_to(self, hub: PeerAddress, report: PeerReport) -> None:
        """Report to the hub, to be summed up once it has said that it lists this process.

        A hub that hears but is not heard would else count a second time what each peer is told.
        """
        is_joining = not self._choice.is_covered()
        self._table.record_sent(report.sequence, () if is_joining else report.loads)
        told = replace(report, hub=hub.node, is_joining=is_joining)
        self._send(encode_report(told), hub.address)

    def _send_as_hub(self, report: PeerReport, is_to_all_zones: bool) -> None:
        """Tell the sums to members and to all that no other hub tells them."""
        members = self._table.members()
        summed = aggregate_reports(report, members)
        samples = (*report.samples, *self._table.drain_member_samples())
        short = encode_report(replace(summed, samples=()))
        hubs = self._table.hub_reports()
        for_members = short + encode_forwarded(self._not_forwarded(hubs))
        for_leader = encode_report(replace(summed, samples=samples)) if samples else short
        names = {each.report.node for each in members}
        leader = self._source.leader_node()
        for peer in self._directory.others():
            if peer.node in names:
                self._send(for_members, peer.address)
            elif peer.node == leader:
                self._send(for_leader, peer.address)
            elif self._is_reached(peer, is_to_all_zones) and self._is_told_by_us(peer):
                self._send(short + self._of_same_zone(peer, hubs), peer.address)

    def _is_told_by_us(self, peer: PeerAddress) -> bool:
        return self._choice.has_led() or not self._table.is_aggregated(peer.node)

    def _not_forwarded(self, hubs: list[AgedReport]) -> list[AgedReport]:
        """Return the reports of other hubs that are newer than those forwarded to members last."""
        newer = []
        for each in hubs:
            mark = each.report.boot, each.report.sequence
            if self._forwarded.get(each.report.node) != mark:
                self._forwarded[each.report.node] = mark
                newer.append(each)
        return newer

    def _of_same_zone(self, peer: PeerAddress, hubs: list[AgedReport]) -> bytes:
        """Return what is appended for a peer with further hubs in its zone.

        There are such hubs only where links of the zone are cut: they may not hear each other.
        """
        further = [
            each
            for each in hubs
            if each.report.node != peer.node
            and self._directory.zone_of(each.report.node) == peer.zone != self._zone
        ]
        return encode_forwarded(further) if further else b""

    def _send_to_each(self, report: PeerReport, hub: str, is_to_all_zones: bool) -> None:
        """Send a report to each peer but `hub`, which has its own."""
        leader = self._source.leader_node()
        short = encode_report(replace(report, samples=()))
        has_samples = bool(report.samples) and not hub
        for peer in self._directory.others():
            is_leader = peer.node == leader
            if peer.node != hub and (is_leader or self._is_reached(peer, is_to_all_zones)):
                datagram = encode_report(report) if is_leader and has_samples else short
                self._send(datagram, peer.address)

    def _is_reached(self, peer: PeerAddress, is_to_all_zones: bool) -> bool:
        return is_to_all_zones or peer.zone == self._zone
