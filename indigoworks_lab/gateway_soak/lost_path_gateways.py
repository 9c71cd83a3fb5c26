"""Which gateways lose their path to servers."""

from collections.abc import Sequence

CUT_SHARES = (0.0, 0.625, 1.0)
"""Shares of the gateways that lose the path: one, five of eight, all but one."""


def lost_path_gateways(
    names: Sequence[str], leader: str | None, draws: Sequence[float]
) -> list[str]:
    """Return the names of the gateways that lose the path, at least one and not all.

    :param leader: the leading gateway, which is among them if the second draw is below a half.
    :param draws: three numbers from 0 to 1.
    """
    others = [each for each in names if each != leader]
    first = int(draws[2] * len(others))
    others = others[first:] + others[:first]
    share = CUT_SHARES[int(draws[0] * len(CUT_SHARES))]
    count = min(len(names) - 1, max(1, round(share * len(names))))
    if leader is not None and draws[1] < 0.5:
        return [leader, *others[: count - 1]]
    return others[:count]
