"""Broken rules of the back ends."""

from dataclasses import replace
from typing import Any

from result import Result

from indigoworks.backend.errors import BackendRefused
from indigoworks.backend.lease_renewal import LeaseRenewal
from indigoworks.controller.lease_timing import BACKEND_LEASE_S
from indigoworks_lab.backend.grant_book import GrantBook
from indigoworks_lab.backend.stand_in_faults import StandInFaults
from indigoworks_lab.backend.stand_in_server import StandInServer
from indigoworks_lab.simulation.broken_rules.broken_rule import BrokenRule, Replacement, ShownBy

_SOUND_INIT = StandInServer.__init__
_SOUND_RENEW = StandInServer.renew
_SOUND_BOOK_RENEW = GrantBook.renew


def _with_faults(faults: StandInFaults) -> list[Replacement]:
    def faulty_init(server: StandInServer, *arguments: Any) -> None:
        _SOUND_INIT(server, *arguments)
        server.faults = faults

    return [Replacement(StandInServer, "__init__", faulty_init)]


def _renew_from_receipt(server: StandInServer, renewal: LeaseRenewal) -> Any:
    valid_until_s = server._clock.now() + BACKEND_LEASE_S
    return _SOUND_RENEW(server, replace(renewal, valid_until_s=valid_until_s))


def _renew_with_any_version(book: GrantBook, renewal: LeaseRenewal) -> Result[None, BackendRefused]:
    book.generation = 0
    book.grants_version = 0
    if renewal.ranges is None:
        book.generation = renewal.generation
        book.grants_version = renewal.grants_version
    return _SOUND_BOOK_RENEW(book, renewal)


BACKEND_RULES = (
    BrokenRule(
        "lease-from-receipt",
        "A back end counts its lease from the receipt of a renewal.",
        lambda: [Replacement(StandInServer, "renew", _renew_from_receipt)],
        "leases",
        ("sole ownership",),
        seed=2,
    ),
    BrokenRule(
        "accept-older-grants",
        "A back end takes grants that are older than those it holds.",
        lambda: [Replacement(GrantBook, "renew", _renew_with_any_version)],
        "leases",
        ("sole ownership",),
        seed=18,
    ),
    BrokenRule(
        "forget-token-check",
        "A back end runs requests whatever their token.",
        lambda: _with_faults(StandInFaults(forgets_token_check=True)),
        "leases",
        (
            "effects under ownership",
            "tokens grow",
        ),
        seed=6,
    ),
    BrokenRule(
        "forget-lease-check",
        "A back end runs requests after its lease has lapsed.",
        lambda: _with_faults(StandInFaults(forgets_lease_check=True)),
        "leases",
        (
            "effects under ownership",
            "tokens grow",
        ),
        seed=6,
    ),
    BrokenRule(
        "release-while-running",
        "A back end reports a range as released while requests run on it.",
        lambda: _with_faults(StandInFaults(releases_while_running=True)),
        "handovers",
        ("effects under ownership",),
        shown_by=ShownBy.NOTHING,
    ),
)
