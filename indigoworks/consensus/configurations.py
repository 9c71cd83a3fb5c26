"""Questions about a configuration of a group."""

from collections.abc import Sequence

from indigoworks.common.address import Address
from indigoworks.wire.control_pb2 import Configuration, Member


def address_of(member: Member) -> Address:
    """Return the address of the member's internal protocol."""
    return Address(member.host, member.control_port)


def quorum_size(configuration: Configuration) -> int:
    """Return how many voters make a majority."""
    return len(configuration.voters) // 2 + 1


def is_voter(configuration: Configuration, incarnation: str) -> bool:
    """Tell whether the incarnation is a voter."""
    return any(voter.incarnation == incarnation for voter in configuration.voters)


def members_of(configuration: Configuration) -> list[Member]:
    """Return voters and learners."""
    return [*configuration.voters, *configuration.learners]


def is_member(configuration: Configuration, incarnation: str) -> bool:
    """Tell whether the incarnation is a voter or a learner."""
    return any(member.incarnation == incarnation for member in members_of(configuration))


def has_same_voters(one: Configuration, other: Configuration) -> bool:
    """Tell whether both configurations have the same voters."""
    return _incarnations(one.voters) == _incarnations(other.voters)


def without(configuration: Configuration, incarnation: str) -> Configuration:
    """Return the configuration without the incarnation."""
    return Configuration(
        voters=_others(configuration.voters, incarnation),
        learners=_others(configuration.learners, incarnation),
    )


def promoted(configuration: Configuration, learner: Member) -> Configuration:
    """Return the configuration with the learner as a voter."""
    return Configuration(
        voters=[*configuration.voters, learner],
        learners=_others(configuration.learners, learner.incarnation),
    )


def demoted(configuration: Configuration, voter: Member) -> Configuration:
    """Return the configuration with the voter as a learner."""
    return Configuration(
        voters=_others(configuration.voters, voter.incarnation),
        learners=[*configuration.learners, voter],
    )


def with_learners(configuration: Configuration, learners: Sequence[Member]) -> Configuration:
    """Return the configuration with further learners."""
    return Configuration(voters=configuration.voters, learners=[*configuration.learners, *learners])


def _others(members: Sequence[Member], incarnation: str) -> list[Member]:
    return [member for member in members if member.incarnation != incarnation]


def _incarnations(members: Sequence[Member]) -> set[str]:
    return {member.incarnation for member in members}
