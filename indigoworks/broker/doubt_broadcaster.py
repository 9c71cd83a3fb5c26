"""Broadcasts doubts about requests to all gateways."""

import asyncio
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace
from math import ceil, sqrt
from random import Random

import xxhash

from indigoworks.broker.doubt_notice import DoubtNotice
from indigoworks.common.clock import Clock
from indigoworks.common.coalesced_call import CoalescedCall
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_view import PeerView
from indigoworks.quarantine.doubt import Doubt

RESEND_PAUSES_S = (0.01, 0.02)
"""Pauses before a doubt is sent again, since datagrams may be lost."""

MAX_DOUBTS_PER_NOTICE = 40
"""Maximum doubts in a datagram: with 29 bytes each it fits in a packet of 1.5 KB."""

MAX_PENDING_DOUBTS = 200
"""Maximum doubts in one broadcast, as a broken link may raise many at once. The others are known
only to this gateway until a report contains them."""

MAX_SILENCE_S = 0.5
"""Gateways from which something was received within this time are preferred as forwarders."""

SALT_BITS = 32

Send = Callable[[PeerAddress, DoubtNotice], None]


class DoubtBroadcaster:
    """Sends doubts directly to each gateway of a small group, and in two hops in a large one.

    For two hops the gateways are divided into about as many shares as each has members, and one
    member of each share forwards the notice to the others. A gateway thus sends about the square
    root of their number of datagrams at a time. Two hops take some milliseconds, while reports
    through the hubs of a large group take 0.1 s and more.

    :param send: sends a notice to a gateway.
    :param on_peer_doubt: called with each doubt received from a peer.
    """

    def __init__(
        self,
        directory: PeerDirectory,
        peers: PeerView,
        send: Send,
        on_peer_doubt: Callable[[Doubt], None],
        clock: Clock,
        random: Random,
    ) -> None:
        self._directory = directory
        self._peers = peers
        self._send = send
        self._on_peer_doubt = on_peer_doubt
        self._clock = clock
        self._random = random
        self._pending: dict[int, Doubt] = {}
        self._newest: dict[int, Doubt] = {}
        self._broadcast_call = CoalescedCall(self._send_pending)
        self._tasks: set[asyncio.Task[None]] = set()

    def broadcast(self, doubt: Doubt) -> None:
        """Queue a doubt that was raised or lifted here for the next broadcast."""
        if len(self._pending) < MAX_PENDING_DOUBTS:
            self._pending[doubt.number] = self._newest[doubt.number] = doubt
            self._broadcast_call.schedule()

    def handle_notice(self, notice: DoubtNotice) -> None:
        """Handle a notice of a peer, and forward it if requested."""
        for doubt in notice.doubts:
            self._on_peer_doubt(doubt)
        if notice.shares:
            final = replace(notice, shares=0)
            for peer in self._directory.others():
                if _share(peer, notice) == notice.share:
                    self._send(peer, final)

    def close(self) -> None:
        """Cancel pending resends."""
        for task in self._tasks:
            task.cancel()

    # ---- helpers ----

    def _send_pending(self) -> None:
        doubts = tuple(self._pending.values())
        self._pending = {}
        self._send_all(doubts)
        task = asyncio.ensure_future(self._resend(doubts))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _resend(self, doubts: tuple[Doubt, ...]) -> None:
        for pause_s in RESEND_PAUSES_S:
            await self._clock.sleep(pause_s)
            # A doubt that was lifted meanwhile has a broadcast of its own.
            self._send_all(tuple(each for each in doubts if self._newest.get(each.number) is each))
        for each in doubts:
            if self._newest.get(each.number) is each:
                del self._newest[each.number]

    def _send_all(self, doubts: tuple[Doubt, ...]) -> None:
        for first in range(0, len(doubts), MAX_DOUBTS_PER_NOTICE):
            notice = DoubtNotice(doubts[first : first + MAX_DOUBTS_PER_NOTICE])
            if self._directory.has_many():
                self._send_to_shares(notice)
            else:
                for peer in self._directory.others():
                    self._send(peer, notice)

    def _send_to_shares(self, notice: DoubtNotice) -> None:
        shares = ceil(sqrt(self._directory.count_others()))
        divided = replace(notice, shares=shares, salt=self._random.getrandbits(SALT_BITS))
        members: dict[int, list[PeerAddress]] = defaultdict(list)
        for peer in self._directory.others():
            members[_share(peer, divided)].append(peer)
        for share, peers in members.items():
            chosen = self._random.choice(
                [each for each in peers if self._is_recently_heard(each)] or peers
            )
            self._send(chosen, replace(divided, share=share))

    def _is_recently_heard(self, peer: PeerAddress) -> bool:
        heard_s = self._peers.heard_time_s(peer.node)
        return heard_s is not None and self._clock.now() - heard_s <= MAX_SILENCE_S


def _share(peer: PeerAddress, notice: DoubtNotice) -> int:
    return int(xxhash.xxh64_intdigest(f"{notice.salt}/{peer.node}".encode()) % notice.shares)
