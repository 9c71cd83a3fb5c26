"""Ranges of a service, as the controllers tell them."""

from collections.abc import Sequence

from indigoworks.admin.bodies.owners_body import OwnersBody
from indigoworks.admin.bodies.range_body import RangeBody, hexadecimal
from indigoworks.common.address import Address
from indigoworks.common.ring.key_hash import key_hash
from indigoworks_lab.client.json_client import JsonClient


async def newest_ranges(
    client: JsonClient, controllers: Sequence[Address], service: str
) -> Sequence[RangeBody]:
    """Return the ranges of the newest state that a controller tells.

    While the platform is down that is the state for the whole outage: nothing is committed.
    """
    states = []
    for controller in controllers:
        answer = await client.get(controller, f"/admin/v1/owners?service={service}")
        if answer.status == 200:
            states.append(OwnersBody.model_validate(answer.body))
    if not states:
        raise AssertionError("no controller tells the owners")
    return max(states, key=lambda each: each.view_version).ranges


def range_of(ranges: Sequence[RangeBody], key: bytes) -> RangeBody:
    """Return the range that holds `key`."""
    return next(each for each in ranges if holds(each, key))


def holds(held: RangeBody, key: bytes) -> bool:
    """Tell whether the range holds `key`."""
    # Texts of 16 digits each compare as the places do.
    return held.start <= hexadecimal(key_hash(key)) <= held.end
