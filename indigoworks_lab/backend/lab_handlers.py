"""Handlers under /lab/ of a stand-in back end; a real back end has none of them."""

from pydantic import ValidationError

from indigoworks_lab.backend.bad_request import BadRequest
from indigoworks_lab.backend.faults_model import FaultsModel
from indigoworks_lab.backend.history_model import HistoryModel, RecordModel
from indigoworks_lab.backend.json_handler import JsonHandler


class HistoryHandler(JsonHandler):
    """GET /lab/history?after=N."""

    async def get(self) -> None:
        """Answer the records from position `after` on."""
        after = self.get_query_argument("after", "0")
        if not after.isdecimal():
            remedy = "Give the field `next` of the last answer, or 0."
            self.refuse(BadRequest("`after` is no position in the history.", remedy), 400)
            return
        records = self.stand_in.history.after(int(after))
        models = tuple(RecordModel.from_record(record) for record in records)
        self.answer(HistoryModel(records=models, next=int(after) + len(models)))


class FaultsHandler(JsonHandler):
    """POST /lab/faults."""

    async def post(self) -> None:
        """Replace the faults in force."""
        try:
            model = FaultsModel.model_validate_json(self.request.body)
        except ValidationError as error:
            remedy = "Send the fields of indigoworks_lab.backend.faults_model."
            self.refuse(BadRequest(f"The faults are malformed: {error}.", remedy), 400)
            return
        self.stand_in.faults = model.to_faults()
        self.stand_in.freeze_gate.freeze(model.freeze_s)
        self.answer(model)
