"""The proof of leadership, as it is logged."""

from typing import Protocol

from indigoworks.ownership.leader_state import LeaderState


class LeaderProof(Protocol):
    """The leadership of a process, as far as it is logged."""

    def proof_age_s(self) -> float:
        """Return the age of the newest proof; infinity: there is none."""
        ...

    def state(self) -> LeaderState:
        """Return the state of this process as leader."""
        ...


def proof_fields(proof: LeaderProof) -> dict[str, object]:
    """Return the log fields on the proof; its age is None if there is no proof."""
    age_s = proof.proof_age_s()
    return {
        "proof_age_s": None if age_s == float("inf") else round(age_s, 3),
        "proof_state": proof.state().value,
    }
