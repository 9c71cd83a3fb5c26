"""Steps for the table of ranges."""

from dataclasses import replace
from random import Random

from behave import then
from hypothesis import given as for_all
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from indigoworks.common.ring.key_hash import KEY_SPACE_MAX
from indigoworks.common.ring.range_assignment import RangeAssignment
from indigoworks.common.ring.range_table import RangeTable

PROPERTY = hypothesis_settings(deadline=None, max_examples=150, derandomize=True, database=None)
SEEDS = strategies.integers(0, 10**6)


def random_ranges(random):
    cuts = sorted({0, *(random.randint(1, KEY_SPACE_MAX) for _ in range(random.randint(0, 20)))})
    ends = [*(cut - 1 for cut in cuts[1:]), KEY_SPACE_MAX]
    return [
        RangeAssignment("stock", start, end, f"s{random.randint(0, 3)}", "run", 7)
        for start, end in zip(cuts, ends, strict=True)
    ]


def random_change(random, ranges):
    first = random.randint(0, len(ranges) - 1)
    expected = ranges[first : first + random.randint(1, 4)]
    merged = replace(expected[0], end=expected[-1].end, token=8)
    middle = (merged.start + merged.end) // 2
    if merged.start == merged.end or random.random() < 0.5:
        return expected, [merged]
    return expected, [replace(merged, end=middle), replace(merged, start=middle + 1, token=9)]


@then("range table: for all tables and changes the patched table equals the rebuilt one")
def patched_equals_rebuilt(context):
    @PROPERTY
    @for_all(SEEDS)
    def check(seed):
        random = Random(seed)
        ranges = random_ranges(random)
        expected, replacement = random_change(random, ranges)
        patched = RangeTable(ranges).replaced(expected, replacement)
        kept = [each for each in ranges if each not in expected]
        assert list(patched) == list(RangeTable([*kept, *replacement]))
        place = random.randint(0, KEY_SPACE_MAX)
        assert patched.find(place) == RangeTable([*kept, *replacement]).find(place)

    check()


@then("range table: for all tables a change with a wrong range or an overlap is refused")
def misfit_refused(context):
    @PROPERTY
    @for_all(SEEDS)
    def check(seed):
        random = Random(seed)
        ranges = random_ranges(random)
        expected, replacement = random_change(random, ranges)
        table = RangeTable(ranges)
        assert table.replaced([replace(expected[0], token=1)], []) is None
        assert table.replaced([], replacement) is None
        if len(expected) > 1:
            assert table.replaced(expected[1:], replacement) is None

    check()


@then("range table: for all places the range found holds the place")
def found_holds(context):
    @PROPERTY
    @for_all(SEEDS, strategies.integers(0, KEY_SPACE_MAX))
    def check(seed, place):
        ranges = random_ranges(Random(seed))
        assert RangeTable(ranges).find(place).contains(place)
        holes = [each for each in ranges if not each.contains(place)]
        assert RangeTable(holes).find(place) is None

    check()
