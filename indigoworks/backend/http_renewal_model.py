"""JSON form of a lease renewal."""

from pydantic import BaseModel, ConfigDict

from indigoworks.backend.http_range_model import HttpRangeModel
from indigoworks.backend.lease_renewal import LeaseRenewal


class HttpRenewalModel(BaseModel):
    """Body of PUT /control/lease. Unknown fields are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    incarnation: str
    generation: int
    grants_version: int
    valid_until_s: float
    ranges: tuple[HttpRangeModel, ...] | None = None

    @classmethod
    def from_renewal(cls, renewal: LeaseRenewal) -> "HttpRenewalModel":
        """Return the JSON form of `renewal`."""
        ranges = renewal.ranges
        return cls(
            incarnation=renewal.incarnation,
            generation=renewal.generation,
            grants_version=renewal.grants_version,
            valid_until_s=renewal.valid_until_s,
            ranges=(
                None if ranges is None else tuple(HttpRangeModel.from_range(r) for r in ranges)
            ),
        )

    def to_renewal(self) -> LeaseRenewal:
        """Return the renewal of this JSON form."""
        ranges = self.ranges
        return LeaseRenewal(
            incarnation=self.incarnation,
            generation=self.generation,
            grants_version=self.grants_version,
            valid_until_s=self.valid_until_s,
            ranges=None if ranges is None else tuple(each.to_range() for each in ranges),
        )
