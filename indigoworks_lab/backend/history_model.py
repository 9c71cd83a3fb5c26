"""JSON form of the execution history of a stand-in back end."""

from urllib.parse import quote_from_bytes, unquote_to_bytes

from pydantic import BaseModel, ConfigDict

from indigoworks_lab.backend.execution_outcome import ExecutionOutcome
from indigoworks_lab.backend.execution_record import ExecutionRecord


class RecordModel(BaseModel):
    """One record; the key is percent-encoded."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    request_id: str
    server: str
    incarnation: str
    service: str
    key: str
    method: str
    token: int
    started_s: float
    ended_s: float
    outcome: ExecutionOutcome

    @classmethod
    def from_record(cls, record: ExecutionRecord) -> "RecordModel":
        """Return the JSON form of `record`."""
        return cls(
            request_id=record.request_id,
            server=record.server,
            incarnation=record.incarnation,
            service=record.service,
            key=quote_from_bytes(record.key, safe=""),
            method=record.method,
            token=record.token,
            started_s=record.started_s,
            ended_s=record.ended_s,
            outcome=record.outcome,
        )

    def to_record(self) -> ExecutionRecord:
        """Return the record that this is the JSON form of."""
        values = self.model_dump()
        values["key"] = unquote_to_bytes(self.key)
        return ExecutionRecord(**values)


class HistoryModel(BaseModel):
    """Answer of GET /lab/history?after=N.

    :ivar next: value of `after` that gives the records after these.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    records: tuple[RecordModel, ...]
    next: int
