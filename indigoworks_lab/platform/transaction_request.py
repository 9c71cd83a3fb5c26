"""Body of POST /tables/transact."""

from pydantic import BaseModel, ConfigDict

from indigoworks.platform.row_write import RowWrite
from indigoworks_lab.platform.write_request import WriteRequest


class TransactionRequest(BaseModel):
    """Writes that are applied all or none."""

    model_config = ConfigDict(extra="forbid")

    writes: list[WriteRequest]

    def row_writes(self) -> list[RowWrite]:
        """Return the writes as the port's type."""
        return [RowWrite(each.key, each.value, each.expected_version) for each in self.writes]
