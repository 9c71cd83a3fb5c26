"""Seeded source of the requests of a load."""

from random import Random

from indigoworks_lab.load.load_plan import LoadPlan
from indigoworks_lab.load.load_request import LoadRequest
from indigoworks_lab.load.zipf_keys import ZipfKeys


class RequestSource:
    """Draws requests and the gaps between them; the same seed gives the same ones."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._random = Random(plan.seed)
        self._keys = ZipfKeys(plan.keys, plan.zipf_exponent, self._random)
        self._made = 0
        self._id_prefix = f"load-{plan.run_id}-{plan.seed}"

    def next_gap_s(self) -> float:
        """Return the time from one request to the next, in seconds."""
        return self._random.expovariate(self._plan.rate_per_s)

    def next_request(self) -> LoadRequest:
        """Return the next request."""
        self._made += 1
        is_write = self._random.random() < self._plan.write_ratio
        return LoadRequest(
            request_id=f"{self._id_prefix}-{self._made}",
            service=self._plan.service,
            key=f"key-{self._keys.draw()}",
            group=self._random.choice(self._plan.groups),
            method="POST" if is_write else "GET",
            body=b"x" * self._plan.body_bytes if is_write else b"",
        )
