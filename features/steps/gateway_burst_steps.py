"""Steps on reports that a leader sends for many grants at once."""

from collections import Counter

from behave import given, then, when
from store_versions import at

from indigoworks.common.address import Address
from indigoworks.exchange.hub_selector import HubSelector
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PEER_PREFIX, PeerDirectory, encode_peer
from indigoworks.exchange.peer_report import PeerReport
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.exchange.report_sender import ReportSender, ReportSource
from indigoworks.rowstore.row import Row

OWN = "leader"
ZONES = ("z1", "z2", "z3")


class StillClock:
    def now(self):
        return 50.0


class Reporter:
    """The sender of a leader, and how many datagrams each peer got."""

    def __init__(self, count):
        clock = StillClock()
        directory = PeerDirectory(OWN)
        for number in range(count):
            address = Address("127.0.0.1", number + 1)
            peer = PeerAddress(f"p{number}", "b", ZONES[number % len(ZONES)], address)
            row = Row("t", "", PEER_PREFIX + peer.node, encode_peer(peer), at(number + 1))
            directory.apply([row])
        self.ports = range(1, count + 1)
        self.got = Counter()
        self.sequence = 0
        table = PeerTable(clock, OWN)
        choice = HubSelector(OWN, ZONES[0], 1.0, directory, table, lambda: OWN, clock)
        source = ReportSource(self.report, lambda: False, lambda report: None, lambda: OWN)
        self.sender = ReportSender(ZONES[0], directory, table, choice, source, self.send)

    def report(self):
        self.sequence += 1
        return PeerReport(OWN, "b", self.sequence, 1, 0.0, None, (), (), 0)

    def send(self, datagram, address):
        self.got[address.port] += 1


@given("a gateway reporter with {count:d} peers")
def step_reporter(context, count):
    context.reporter = Reporter(count)


@when("the gateway reporter is told of {count:d} grants, and its next report is due")
def step_told(context, count):
    for _ in range(count):
        context.reporter.sender.send_soon()
    context.reporter.sender.send_if_due()


@when("the gateway reporter's next period ends")
def step_period(context):
    context.reporter.sender.send_if_due()


@then("each peer of the gateway reporter has got {count:d} report{plural}")
def step_got(context, count, plural):
    step_got_one(context, count)


@then("each peer of the gateway reporter has got {count:d} report")
def step_got_one(context, count):
    got = [context.reporter.got[port] for port in context.reporter.ports]
    assert got == [count] * len(got), got
