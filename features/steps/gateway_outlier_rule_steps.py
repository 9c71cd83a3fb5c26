"""Steps on the rules by which servers are ejected, with fakes and a clock moved by hand."""

from dataclasses import dataclass
from random import Random

from behave import given, then, when
from gateway_group_world import FixedServers
from gateway_world import make_record

from indigoworks.common.address import Address
from indigoworks.common.attempt_verdict import AttemptVerdict
from indigoworks.exchange.server_evidence import ServerEvidence
from indigoworks.exchange.server_load import server_checksum
from indigoworks.exchange.shared_evidence import SharedEvidence
from indigoworks.outliers.outlier_detector import OutlierDetector

OWN = 77
CALLERS = 5
REPEATABLE_SHARE = 200
"""Requests within which a trial is drawn almost surely, at one in twelve."""


@dataclass
class HandClock:
    now_s: float = 100.0

    def now(self):
        return self.now_s


class RuleWorld:
    def __init__(self, servers) -> None:
        self.clock = HandClock()
        self.records = [
            make_record(f"s{number}", Address("h", number)) for number in range(1, servers + 1)
        ]
        self.detector = OutlierDetector(
            OWN, FixedServers(self.records), self.clock, Random(1), lambda: 1
        )
        self.outcomes = 0
        self.peers = 0

    def record(self, number, verdict, caller=None) -> None:
        self.outcomes += 1
        name = caller if caller is not None else 2 + self.outcomes % CALLERS
        self.detector.record(self.records[number - 1], verdict, name, self.clock.now_s)

    def share(self, number, evidence, teller) -> None:
        checksum = server_checksum(self.records[number - 1].server_id)
        entry = SharedEvidence(checksum, teller, 0.0, evidence)
        self.detector.apply_shared((entry,), self.records)


@given("an outlier detector before {servers:d} servers")
def step_detector(context, servers):
    context.rules = RuleWorld(servers)


@when('server {number:d} has {count:d} outcomes "{verdict}" {gap_s:g} s apart')
def step_outcomes(context, number, count, verdict, gap_s):
    for _ in range(count):
        context.rules.clock.now_s += gap_s
        context.rules.record(number, AttemptVerdict[verdict.upper()])


@when(
    'server {number:d} has {count:d} outcomes "{verdict}" of one caller, and 1 good one of another '
    "in between"
)
def step_one_caller(context, number, count, verdict):
    for turn in range(count):
        context.rules.record(number, AttemptVerdict[verdict.upper()], caller=2)
        if turn == 0:
            context.rules.record(number, AttemptVerdict.GOOD, caller=6)
    context.rules.record(number, AttemptVerdict[verdict.upper()], caller=2)


@when('server 1 to {failing:d} have {count:d} outcomes "{verdict}" each')
def step_several(context, failing, count, verdict):
    for number in range(1, failing + 1):
        for _ in range(count):
            context.rules.record(number, AttemptVerdict[verdict.upper()])


@when('{peers:d} peers tell of {count:d} "{verdict}" outcome each at server {number:d}')
def step_peers(context, peers, count, verdict, number):
    for peer in range(peers):
        evidence = ServerEvidence()
        for turn in range(count):
            caller = 2 + (peer + turn) % CALLERS
            evidence = evidence.with_outcome(AttemptVerdict[verdict.upper()], caller)
        teller = 1000 + peer + (100 if verdict == "good" else 0)
        context.rules.share(number, evidence, teller)


@when("{duration_s:g} s pass for the outlier detector")
def step_pass(context, duration_s):
    context.rules.clock.now_s += duration_s
    context.rules.detector.drop_old()


@then("the outlier detector has ejected none")
def step_none(context):
    assert not context.rules.detector.ejected(), context.rules.detector.ejected()


@then("the outlier detector has ejected {number:d}")
def step_one(context, number):
    assert list(context.rules.detector.ejected()) == [f"s{number}"], list(
        context.rules.detector.ejected()
    )


@then("the outlier detector has ejected {count:d} servers")
def step_count(context, count):
    assert len(context.rules.detector.ejected()) == count, context.rules.detector.ejected()


@then("the outlier detector shares nothing")
def step_shares_nothing(context):
    assert context.rules.detector.shared() == (), context.rules.detector.shared()


@then("server {number:d} comes back after {count:d} good trials")
def step_back(context, number, count):
    rules = context.rules
    record = rules.records[number - 1]
    assert rules.detector.is_ejected(record.server_id)
    rules.clock.now_s += 0.25
    for turn in range(count):
        assert rules.detector.is_ejected(record.server_id), turn
        tries = (rules.detector.trial([record]) for _ in range(REPEATABLE_SHARE))
        assert any(each is record for each in tries), turn
        # One at a time: no second trial goes out before the first has ended.
        assert rules.detector.trial([record]) is None, turn
        rules.clock.now_s += 0.05
        rules.record(number, AttemptVerdict.GOOD)
    assert not rules.detector.is_ejected(record.server_id)
    rules.clock.now_s += 0.05
