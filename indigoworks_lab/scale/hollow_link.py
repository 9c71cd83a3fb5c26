"""A hollow process as the scale run knows it."""

from dataclasses import dataclass

from indigoworks.common.address import Address
from indigoworks_lab.launcher.managed_process import ManagedProcess


@dataclass(frozen=True)
class HollowLink:
    """One hollow process.

    :ivar control: address by which it is steered.
    :ivar first: index of its first member.
    :ivar count: number of its members.
    """

    process: ManagedProcess
    control: Address
    first: int
    count: int
