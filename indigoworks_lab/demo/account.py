"""What the demo prints."""

from collections.abc import Callable


class Account:
    """Prints one line for each thing seen, and remembers the checks that failed.

    :param elapsed_s: returns the seconds since the start of the demo.
    """

    def __init__(self, elapsed_s: Callable[[], float]) -> None:
        self._elapsed_s = elapsed_s
        self.passed = 0
        self.failed: list[str] = []

    def title(self, text: str) -> None:
        """Print the title of a step."""
        print(f"\n[{self._elapsed_s():5.1f} s] {text}", flush=True)

    def say(self, text: str) -> None:
        """Print something seen."""
        print(f"    {text}", flush=True)

    def check(self, claim: str, holds: bool, seen: object = "") -> None:
        """Print whether `claim` holds, and what was seen where it does not."""
        if holds:
            self.passed += 1
            print(f"    ok      {claim}", flush=True)
            return
        self.failed.append(claim)
        print(f"    FAILED  {claim}: {seen}", flush=True)

    def conclude(self) -> int:
        """Print the verdict and return the exit code."""
        print(f"\n[{self._elapsed_s():5.1f} s] {self.passed} ok, {len(self.failed)} failed")
        for claim in self.failed:
            print(f"    failed: {claim}")
        return 1 if self.failed else 0
