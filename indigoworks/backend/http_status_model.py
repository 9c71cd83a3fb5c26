"""JSON form of a back end's status."""

from pydantic import BaseModel, ConfigDict

from indigoworks.backend.backend_status import BackendStatus
from indigoworks.backend.http_range_model import HttpRangeModel


class HttpStatusModel(BaseModel):
    """Body of a back end's responses under /control/. Unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    name: str
    incarnation: str
    service: str
    zone: str
    slots: int
    connections: int
    clock_s: float
    generation: int
    grants_version: int
    released: tuple[HttpRangeModel, ...] = ()
    is_draining: bool = False

    @classmethod
    def from_status(cls, status: BackendStatus) -> "HttpStatusModel":
        """Return the JSON form of `status`."""
        return cls(
            name=status.name,
            incarnation=status.incarnation,
            service=status.service,
            zone=status.zone,
            slots=status.slots,
            connections=status.connections,
            clock_s=status.clock_s,
            generation=status.generation,
            grants_version=status.grants_version,
            released=tuple(HttpRangeModel.from_range(each) for each in status.released),
            is_draining=status.is_draining,
        )

    def to_status(self) -> BackendStatus:
        """Return the status of this JSON form."""
        return BackendStatus(
            name=self.name,
            incarnation=self.incarnation,
            service=self.service,
            zone=self.zone,
            slots=self.slots,
            connections=self.connections,
            clock_s=self.clock_s,
            generation=self.generation,
            grants_version=self.grants_version,
            released=tuple(each.to_range() for each in self.released),
            is_draining=self.is_draining,
        )
