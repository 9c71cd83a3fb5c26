"""Steps on what an attempt says about its server, and on how gateways tell each other."""

from behave import given, then, when
from gateway_group_world import FixedServers
from gateway_outlier_rule_steps import HandClock
from gateway_world import make_record, make_route, make_service

from indigoworks.broker.broker_codec import decode_datagram, encode_datagram
from indigoworks.broker.broker_datagram import BrokerDatagram
from indigoworks.broker.slot_release import SlotRelease
from indigoworks.common.address import Address
from indigoworks.common.attempt_verdict import AttemptVerdict
from indigoworks.exchange.exchange_pb2 import PeerReportMessage
from indigoworks.exchange.hub_aggregation import aggregate_reports
from indigoworks.exchange.peer_report import AgedReport, PeerReport
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.exchange.report_codec import decode_datagram as decode_reports
from indigoworks.exchange.report_codec import encode_report
from indigoworks.exchange.server_evidence import ServerEvidence
from indigoworks.exchange.shared_evidence import SharedEvidence
from indigoworks.gateway.attempt_judge import AttemptJudge
from indigoworks.gateway.client_request import ClientRequest
from indigoworks.gateway.request_state import RequestState
from indigoworks.gateway.server_response import BROKEN, ExchangeResult, ServerResponse
from indigoworks.gateway.server_stats import ServerStats

TIMEOUT_S = 2.0
EVIDENCE_FIELD = PeerReportMessage.DESCRIPTOR.fields_by_name["evidence"]


class FakePath:
    is_lost = False


class JudgeWorld:
    """The first server is judged; the second one answers others a moment before."""

    def __init__(self, servers, slots) -> None:
        self.clock = HandClock()
        self.records = [
            make_record(f"s{number}", Address("h", number), slots=slots)
            for number in range(1, servers + 1)
        ]
        self.servers = FixedServers(self.records)
        self.stats = ServerStats(PeerTable(self.clock), self.clock)
        self.path = FakePath()
        self.judge = AttemptJudge(self.stats, self.servers, self.path, self.clock)
        self.count = 0
        self.has_other_answer = True

    def attempt(self, response, took_s=0.01, server=0, target=None, started=None):
        self.count += 1
        request = ClientRequest(
            "r",
            "GET",
            "shop.example",
            target or f"/a/{self.count}",
            (),
            b"",
            None,
            None,
            self.clock.now_s,
            "10.0.0.1",
        )
        state = RequestState(request, make_route(timeout_s=TIMEOUT_S), make_service(), 1)
        record = self.records[server]
        started = started or self.stats.start(record)
        self.clock.now_s += took_s
        if self.has_other_answer:
            self.stats.record_response(self.records[1].server_id)
        verdict = self.judge.judge(state, record, response, started)
        self.stats.finish(record, started, False)
        return verdict


def answered(status, is_signed=True, is_not_run=False):
    return ServerResponse(
        ExchangeResult.ANSWERED, status, is_not_run=is_not_run, is_signed=is_signed
    )


LOST = ServerResponse(ExchangeResult.LOST, detail=BROKEN)
SILENT = ServerResponse(ExchangeResult.SILENT, detail="deadline")


def unsigned_after_others(world):
    world.attempt(answered(200), server=1)
    return world.attempt(answered(200, is_signed=False))


def beyond_slots(world):
    for _ in range(2):
        world.stats.start(world.records[0])
    return world.attempt(LOST)


def after_an_answer(world):
    world.stats.record_response(world.records[0].server_id)
    return world.attempt(LOST)


def without_other_answers(world):
    world.has_other_answer = False
    return world.attempt(LOST)


def with_lost_path(world):
    world.path.is_lost = True
    return world.attempt(LOST)


def after_leaving(world):
    left = world.records[0].server_id
    world.servers.is_usable = lambda server_id: server_id != left
    return world.attempt(LOST)


def together(world):
    both = [world.stats.start(world.records[0]) for _ in range(2)]
    assert world.attempt(LOST, started=both[0]) is AttemptVerdict.BROKEN
    return world.attempt(LOST, started=both[1])


def failed_elsewhere(world):
    assert world.attempt(answered(500), server=1, target="/x") is AttemptVerdict.ERROR
    return world.attempt(answered(500), target="/x")


ENDS = {
    "200 signed": lambda world: world.attempt(answered(200)),
    "200 unsigned where none signs": lambda world: world.attempt(answered(200, is_signed=False)),
    "200 unsigned where others sign": unsigned_after_others,
    "404": lambda world: world.attempt(answered(404)),
    "500": lambda world: world.attempt(answered(500)),
    "503": lambda world: world.attempt(answered(503)),
    "429": lambda world: world.attempt(answered(429)),
    "421": lambda world: world.attempt(answered(421, is_not_run=True)),
    "500 not run": lambda world: world.attempt(answered(500, is_not_run=True)),
    "504 at the deadline": lambda world: world.attempt(answered(504), took_s=TIMEOUT_S - 0.01),
    "504 long before the deadline": lambda world: world.attempt(answered(504)),
    "not sent": lambda world: world.attempt(ServerResponse(ExchangeResult.NOT_SENT)),
    "broken": lambda world: world.attempt(LOST),
    "broken beyond the slots": beyond_slots,
    "broken right after an answer": after_an_answer,
    "broken while no other server answers": without_other_answers,
    "broken while the path is lost": with_lost_path,
    "broken under a server that has left": after_leaving,
    "broken together with the one before": together,
    "lost for a head without end": lambda world: world.attempt(
        ServerResponse(ExchangeResult.LOST, detail="head_size")
    ),
    "silent for 0.1 s": lambda world: world.attempt(SILENT, took_s=0.1),
    "silent for 1 s": lambda world: world.attempt(SILENT, took_s=1.0),
    "500 after the same request failed elsewhere": failed_elsewhere,
}


@given("an attempt judge before {servers:d} servers of {slots:d} slots")
def step_judge(context, servers, slots):
    context.judge_world = JudgeWorld(servers, slots)


@when('an attempt ends with "{what}"')
def step_end(context, what):
    context.verdict = ENDS[what](context.judge_world)


@then('the verdict on the attempt is "{verdict}"')
def step_verdict(context, verdict):
    assert context.verdict is AttemptVerdict[verdict.upper()], context.verdict


def make_report(node, *evidence):
    return PeerReport(node, "b", 1, 0, float("inf"), None, (), (), 0, evidence=evidence)


def make_entry(teller, age_s, error):
    return SharedEvidence(7, teller, age_s, ServerEvidence(1, error, 2, 3, 9, 1))


@then("a report with evidence comes back as it was sent")
def step_report(context):
    report = make_report("n1", make_entry(5, 0.25, 4), make_entry(6, 0.0, 1))
    (got,) = decode_reports(encode_report(report))
    assert got.report == report, got.report


@then("a hub passes the evidence of its members on, the newest of each")
def step_hub(context):
    own = make_report("hub", make_entry(1, 0.0, 1), make_entry(2, 1.0, 9))
    member = make_report("n2", make_entry(2, 0.25, 4))
    passed = aggregate_reports(own, [AgedReport(member, 0.5)]).evidence
    assert set(passed) == {make_entry(1, 0.0, 1), make_entry(2, 0.75, 4)}, passed


@then("a release with a fault comes back as it was sent")
def step_release(context):
    for verdict in (AttemptVerdict.NEUTRAL, AttemptVerdict.BROKEN, AttemptVerdict.INVALID):
        datagram = BrokerDatagram("n1", "b1", SlotRelease(7, True, verdict=verdict))
        assert decode_datagram(encode_datagram(datagram)) == datagram, verdict


@then("a report without faults has the bytes that it had before")
def step_no_bytes(context):
    message = PeerReportMessage.FromString(encode_report(make_report("n1")))
    assert EVIDENCE_FIELD not in [field for field, _ in message.ListFields()]
    release = encode_datagram(BrokerDatagram("n", "b", SlotRelease(7, True)))
    faulty = SlotRelease(7, True, verdict=AttemptVerdict.ERROR)
    assert len(encode_datagram(BrokerDatagram("n", "b", faulty))) == len(release) + 3
