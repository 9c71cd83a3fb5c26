"""The record of a run: what was sent, answered and run."""

import time
from pathlib import Path


class Record:
    """Writes lines with the seconds since the start of the run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()
        self.broken: list[str] = []

    def at_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_s

    def note(self, *words: object) -> None:
        """Write a line."""
        self._file.write(f"{self.at_s():8.3f} " + " ".join(map(str, words)) + "\n")

    def breach(self, *words: object) -> None:
        """Write a line about a broken rule."""
        text = " ".join(map(str, words))
        self.broken.append(text)
        self.note("BROKEN", text)

    def close(self) -> None:
        """Write the last line and close the file."""
        self.note("verdict:", f"{len(self.broken)} breaches" if self.broken else "the rule held")
        self._file.close()
