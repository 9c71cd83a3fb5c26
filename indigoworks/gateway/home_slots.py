"""Assigns each slot of a service to the gateway that uses it first."""

from collections.abc import Sequence
from zlib import crc32


def home_slots(
    node: str, nodes: Sequence[str], capacities: Sequence[tuple[str, int, float]]
) -> dict[str, float]:
    """Return the slots assigned to `node`, by server with any.

    Servers and gateways are ordered by checksum. Each gateway gets a contiguous part of the servers
    with the same share of the total rate, so that all gateways compute the same assignment without
    a message.

    :param nodes: all gateways, `node` included.
    :param capacities: server id, slots and service time of each server.
    """
    ordered = sorted(capacities, key=lambda each: (crc32(each[0].encode()), each[0]))
    share = sum(slots / service_s for _, slots, service_s in ordered) / len(nodes)
    position = sorted(nodes, key=lambda each: (crc32(each.encode()), each)).index(node)
    first, last = position * share, (position + 1) * share
    assigned: dict[str, float] = {}
    begin = 0.0
    for server_id, slots, service_s in ordered:
        end = begin + slots / service_s
        rate = min(end, last) - max(begin, first)
        if rate > 0:
            assigned[server_id] = rate * service_s
        begin = end
    return assigned
