"""The state that a stand-in back end keeps for its keys, in memory."""

from indigoworks_lab.backend.key_state import KeyState


class KeyValueStore:
    """State per key. It stays with the server: a new owner of a key starts without it."""

    def __init__(self) -> None:
        self._states: dict[bytes, KeyState] = {}

    def apply(self, method: str, key: bytes, body: bytes, request_id: str) -> KeyState:
        """Run one request and return the key's state after it.

        PUT sets the value, POST appends one entry under the request's id, DELETE removes the
        state; all other methods read.
        """
        before = self._states.get(key, KeyState())
        after = _changed(before, method, body, request_id)
        if after != KeyState():
            self._states[key] = after
        else:
            self._states.pop(key, None)
        return after


def _changed(state: KeyState, method: str, body: bytes, request_id: str) -> KeyState:
    if method == "PUT":
        return state.with_value(body)
    if method == "POST":
        return state.with_entry(request_id)
    if method == "DELETE":
        return KeyState()
    return state
