"""JSON form of the faults of a stand-in back end."""

from pydantic import BaseModel, ConfigDict, Field

from indigoworks_lab.backend.stand_in_faults import StandInFaults

Ratio = Field(default=0.0, ge=0.0, le=1.0)


class FaultsModel(BaseModel):
    """Body of POST /lab/faults: all faults from now on; a field left out means none.

    :ivar freeze_s: freezes the server once, for this long; not a lasting fault.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    freeze_s: float = Field(default=0.0, ge=0.0)
    lose_answers_ratio: float = Ratio
    cut_answers_ratio: float = Ratio
    slow_factor: float = Field(default=1.0, gt=0.0)
    lies_about_health: bool = False
    lies_about_load: bool = False
    forgets_token_check: bool = False
    forgets_lease_check: bool = False
    releases_while_running: bool = False
    ends_under: str = ""

    def to_faults(self) -> StandInFaults:
        """Return the lasting faults."""
        return StandInFaults(**self.model_dump(exclude={"freeze_s"}))
