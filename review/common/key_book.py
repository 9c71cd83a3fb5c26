"""Keys that a stand-in of a server holds."""

KEYS = 65536


class KeyBook:
    """Holds and fencing tokens of one run of a server, key by key."""

    def __init__(self) -> None:
        self._until_s = [0.0] * KEYS
        self._seen = [0] * KEYS

    def take(self, first: int, last: int, token: int, until_s: float) -> bool:
        """Take a grant; False: a higher token was seen on one of the keys."""
        if max(self._seen[first : last + 1]) > token:
            return False
        count = last + 1 - first
        self._seen[first : last + 1] = [token] * count
        self._until_s[first : last + 1] = [until_s] * count
        return True

    def release(self, first: int, last: int, token: int) -> None:
        """Give up keys that are held under this token or a lower one."""
        for key in range(first, last + 1):
            if self._seen[key] <= token:
                self._seen[key] = token
                self._until_s[key] = 0.0

    def until_s(self, key: int) -> float:
        """Return until when a key is held."""
        return self._until_s[key]

    def token(self, key: int) -> int:
        """Return the newest token seen on a key."""
        return self._seen[key]
