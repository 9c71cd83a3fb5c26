"""Faults of one direction between two processes."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field


class FlowFaults(BaseModel):
    """What the bytes from one process to another meet; the default is a healthy link.

    :ivar is_cut: no byte passes. Bytes already sent wait, as TCP would send them again later.
    :ivar refuses_new: while it is cut, new connections between the two are refused; otherwise
        they stay without an answer.
    :ivar delay_s: seconds that each piece of bytes waits.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    is_cut: bool = False
    refuses_new: bool = False
    delay_s: Annotated[float, Field(ge=0)] = 0.0
