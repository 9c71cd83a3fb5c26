"""The proof of leadership as the log tells of it."""

from typing import Protocol

from indigoworks.ownership.leader_state import LeaderState


class LeaderProof(Protocol):
    """What the log says of a process's leadership."""

    def proof_age_s(self) -> float:
        """Return the age of the newest proof; infinity: there is none."""
        ...

    def state(self) -> LeaderState:
        """Return what this process is as leader."""
        ...


def proof_fields(proof: LeaderProof) -> dict[str, object]:
    """Return the fields of a line on the proof; its age is None where there is none."""
    age_s = proof.proof_age_s()
    return {
        "proof_age_s": None if age_s == float("inf") else round(age_s, 3),
        "proof_state": proof.state().value,
    }
