"""A whole HTTP answer."""

from dataclasses import dataclass


@dataclass(frozen=True)
class HttpAnswer:
    """Status, headers as received and whole body."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first value of header `name`, whatever its case, or None."""
        for each, value in self.headers:
            if each.lower() == name.lower():
                return value
        return None
