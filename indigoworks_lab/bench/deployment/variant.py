"""What an experiment can run on."""

from enum import StrEnum


class Variant(StrEnum):
    """Ways to bring requests to the servers."""

    OURS = "ours"
    """The product as it is set up by the installation's tree: one dispatcher for each server."""

    DIRECT = "direct"
    """The product with `hop: direct`: every router sends itself, on its part of the slots."""

    CONSISTENT_HASHING = "consistent-hashing"
    """No product: consistent hashing over the machine list, without any control."""


BASELINES = (Variant.DIRECT, Variant.CONSISTENT_HASHING)
