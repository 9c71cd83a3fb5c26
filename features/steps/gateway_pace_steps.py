"""Steps on the pace of questions to the store and of reports to peers."""

from itertools import pairwise

from behave import then
from gateway_relay_world import TABLE
from result import Ok
from store_versions import at

from indigoworks.exchange import report_pace
from indigoworks.exchange.peer_table import LIVE_S
from indigoworks.exchange.report_pace import ReportPace, ReportScope
from indigoworks.relay.relayed_store import RelayedStore
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.rows import Rows
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks_lab.simulation.core.manual_clock import ManualClock

MEASURED_S = 30.0


@then("gateway relay: a burst of changes costs a gateway fewer calls the more of them there are")
def step_pace(context):
    calls = {count: calls_of_burst(context, count) for count in (1, 10, 60)}
    assert calls[1] > 2 * calls[10] > 4 * calls[60], calls


def calls_of_burst(context, gateways):
    """Return the calls within 3 s of a store that always has something new."""
    clock, choice = ManualClock(), _CountedChoice(gateways)

    class Busy:
        calls = 0

        async def follow(self, table, after, wait_s):
            Busy.calls += 1
            clock._now_s += 0.004
            newest = at(after.counter + 1)
            return Ok(Rows((Row(TABLE, "", "k", b"", newest),), newest, 0.0))

    async def sleep(duration_s):
        clock._now_s += duration_s

    clock.sleep = sleep
    relayed = RelayedStore(Busy(), StoreHealth(clock), choice, None, frozenset({TABLE}), clock)

    async def run():
        version, until_s = at(1), clock.now() + 3.0
        while clock.now() < until_s:
            version = (await relayed.follow(TABLE, version, 1.0)).unwrap().version

    context.run_async(run())
    return Busy.calls


class _CountedChoice:
    def __init__(self, gateways):
        self.gateways = gateways

    def relay(self):
        return None

    def is_acting(self):
        return False

    def awaits_first_relay(self):
        return False

    def gateway_count(self):
        return self.gateways


def reports(peers, news_every, length_s=MEASURED_S):
    """Return (time, reach) of the reports of one process."""
    pace, now_s, count, sent = ReportPace(), 0.0, 0, []
    while now_s < length_s:
        now_s += pace.period_s(peers)
        count += 1
        reach = pace.decide(peers, bool(news_every) and count % news_every == 0)
        if reach is not ReportScope.NONE:
            sent.append((now_s, reach))
    return sent


@then("gateway exchange: with few peers reports go out each 50 ms, each 200 ms without news")
def step_few(context):
    for peers in (0, 7, 20):
        assert len(reports(peers, 1)) in (599, 600, 601)
        assert len(reports(peers, 0)) in (149, 150, 151)


@then("gateway exchange: with any number of peers a report goes out well within the live time")
def step_live(context):
    for peers in (0, 1, 16, 40, 70, 300, 3000):
        for news_every in (0, 1, 2, 3, 7):
            far = [at_s for at_s, reach in reports(peers, news_every) if reach is ReportScope.ALL]
            gaps = [later - earlier for earlier, later in pairwise(far)]
            assert max(gaps) <= 0.65 * LIVE_S, (peers, news_every, max(gaps))


@then("gateway exchange: what one process receives a second grows much less than its peers")
def step_received(context):
    received = {peers: peers * len(reports(peers, 1)) for peers in (20, 40, 80)}
    assert received[80] <= 1.05 * received[20], received
    assert report_pace.MAX_PERIOD_S <= 0.5 * LIVE_S
