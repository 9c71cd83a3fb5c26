"""What a process of a server that holds keys learns at its start."""

import json
from dataclasses import asdict, dataclass


@dataclass(frozen=True)
class KeyServerSettings:
    """Names of headers are the platform's; the others are ours.

    :ivar listed_port: port that its entry names: that of the link to it.
    :ivar record_path: file that gets one line for each event.
    :ivar store_port: where it writes its entry; 0: nowhere.
    :ivar store_write_path: path of the store's call for writes, as the platform names it.
    :ivar clock_factor: true seconds that a second of its clock for holds takes, 1 to 1.02.
    :ivar hold_max_s: longest hold that it accepts.
    :ivar forgets_release_tokens: the token of a release does not count as seen.
    :ivar repeats_refusals: sends a part of its refusals again, right before the connection's next
        answer.
    :ivar needs_keys: runs only requests on keys that it holds; otherwise any, as if on key 0.
    """

    server_id: str
    service: str
    zone: str
    port: int
    listed_port: int
    store_port: int
    store_write_path: str
    record_path: str
    heartbeat_s: float
    slots: int
    clock_factor: float
    hold_max_s: float
    request_id_header: str
    server_id_header: str
    answering_id_header: str
    not_run_header: str
    key_header: str
    handover_header: str
    signature_header: str
    forgets_release_tokens: bool = False
    repeats_refusals: bool = False
    needs_keys: bool = True

    def to_text(self) -> str:
        """Return them as JSON."""
        return json.dumps(asdict(self))

    @classmethod
    def from_text(cls, text: str) -> "KeyServerSettings":
        """Read what `to_text` wrote."""
        return cls(**json.loads(text))
