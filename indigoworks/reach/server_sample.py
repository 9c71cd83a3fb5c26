"""Random choice of servers whose connections tell about the path to all."""

from collections.abc import Collection, Iterable
from random import Random

from indigoworks.servers.server_record import ServerRecord

MIN_SERVERS = 3
"""Least number of servers in a sample, if there are so many."""

MAX_SERVERS = 6


def sample_servers(
    servers: Iterable[ServerRecord], excluded: Collection[str], random: Random
) -> list[ServerRecord]:
    """Return a server of each zone, and more until there are MIN_SERVERS.

    A lost zone takes away its own servers only, so a sample from all zones tells it from a lost
    path.

    :param excluded: ids that the sample leaves out.
    """
    candidates = [each for each in servers if each.server_id not in excluded]
    random.shuffle(candidates)
    first_of_zone = {each.zone: each for each in reversed(candidates)}
    chosen = list(first_of_zone.values())[:MAX_SERVERS]
    for each in candidates:
        if len(chosen) >= MIN_SERVERS:
            break
        if each not in chosen:
            chosen.append(each)
    return chosen
