"""Steps on the first table of a service."""

from behave import given, then, when
from gateway_control_world import HOLD_MAX_S, SERVICE
from gateway_owner_proof_world import ProofWorld

# isort: split

from indigoworks.ownership.era_numbers import NUMBERS_PER_ERA
from indigoworks.ownership.key_grant import KeyGrant
from indigoworks.ownership.order_outcome import OrderOutcome, OrderResult
from indigoworks.ownership.ownership_table import KEY_COUNT
from indigoworks.ownership.table_editor import TOKEN_STEP

SEEN_TOKEN = 900


class OneOddServer:
    """Wraps servers that take orders; one of them has `result` for all orders of `kinds`."""

    def __init__(self, servers, name, result, kinds):
        self._servers = servers
        self._name = name
        self._result = result
        self._kinds = kinds

    def __getattr__(self, name):
        return getattr(self._servers, name)

    async def grant(self, server, *order):
        if self._is_odd(server, "grant"):
            return OrderOutcome(self._result)
        return await self._servers.grant(server, *order)

    async def release(self, server, *order):
        if self._is_odd(server, "release"):
            return OrderOutcome(self._result)
        return await self._servers.release(server, *order)

    def _is_odd(self, server, kind):
        return server.server_id == self._name and kind in self._kinds


def start(context, *, holds, silent=(), odd=None, owners=(), token=SEEN_TOKEN):
    """Start a leader that knows of none before it; `owners`: those of the table, if any."""

    async def build():
        world = context.proof = ProofWorld(*owners)
        if holds:
            world.orders.take("a", KeyGrant(0, KEY_COUNT - 1, token, HOLD_MAX_S))
        world.orders.silent.update(silent)
        if odd:
            world.orders = OneOddServer(world.orders, "a", *odd)
        await world.lead()

    context.run_async(build())


@given("a gateway first table world in which nobody holds keys")
def step_new(context):
    start(context, holds=False)


@given('a gateway first table world in which "a" holds all keys under token 900')
def step_holds_all(context):
    start(context, holds=True)


@given('a gateway first table world in which "a" holds all keys and is silent')
def step_holds_silent(context):
    start(context, holds=True, silent=["a"])


@given('a gateway first table world in which "a" holds all keys and cannot be reached')
def step_holds_unreached(context):
    start(context, holds=True, odd=(OrderResult.NOT_SENT, ("grant", "release")))


@given(
    'a gateway first table world with the table alone, by which "a" holds all keys and '
    "cannot be reached"
)
def step_table_alone(context):
    odd = (OrderResult.NOT_SENT, ("grant", "release"))
    start(context, holds=True, odd=odd, owners=["a"], token=TOKEN_STEP)


@given('a gateway first table world in which "a" refuses every grant')
def step_refuses(context):
    start(context, holds=False, odd=(OrderResult.FENCED, ("grant",)))


@when('gateway owner "{name}" answers again')
def step_answers(context, name):
    context.proof.orders.silent.discard(name)


@then('gateway owner "a" holds half of the keys, and "b" the others')
def step_halves(context):
    orders = context.proof.orders
    half = KEY_COUNT // 2
    assert all(orders.holds("a", key) for key in range(half)), orders.spans[-3:]
    assert all(orders.holds("b", key) for key in range(half, KEY_COUNT)), orders.spans[-3:]


@then("the gateway first table names no former owners")
def step_no_former(context):
    ranges = context.proof.tables.table(SERVICE).ranges
    assert ranges and not any(each.former for each in ranges), ranges


@then('gateway first table server "{name}" holds {what}')
def step_holds_what(context, name, what):
    held = any(context.proof.orders.holds(name, key) for key in range(KEY_COUNT))
    assert held == {"no key": False, "some keys": True}[what], context.proof.orders.spans[-3:]


@then("a quarter of the tokens of the gateway owner era at most is used")
def step_tokens(context):
    token = context.proof.tables.table(SERVICE).highest_token
    assert SEEN_TOKEN < token < NUMBERS_PER_ERA // 4, token
