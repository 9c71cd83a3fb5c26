"""Identity of one run of a process."""

from random import Random

INCARNATION_BITS = 64


def new_incarnation(name: str, random: Random) -> str:
    """Return an identity that no other run of any process has.

    :param random: seeded from the machine's entropy in production.
    """
    return f"{name}-{random.getrandbits(INCARNATION_BITS):016x}"
