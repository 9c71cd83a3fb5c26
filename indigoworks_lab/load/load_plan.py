"""What load to send."""

from dataclasses import dataclass


@dataclass(frozen=True)
class LoadPlan:
    """One stream of requests to one service.

    :ivar rate_per_s: requests started per second, at random moments (Poisson), whatever the
        answers do.
    :ivar warm_up_s: requests of the first seconds are sent and not counted.
    :ivar zipf_exponent: skew of the keys; 0 draws all keys alike.
    :ivar write_ratio: share of POST requests, which must not be repeated; the rest is GET.
    :ivar run_id: part of the request ids; runs against the same servers must differ in it.
    :ivar groups: groups that the requests are drawn from, all alike.
    """

    service: str
    rate_per_s: float
    duration_s: float
    warm_up_s: float = 1.0
    timeout_s: float = 2.0
    keys: int = 10_000
    zipf_exponent: float = 0.9
    write_ratio: float = 0.1
    body_bytes: int = 64
    groups: tuple[str, ...] = ("default",)
    seed: int = 0
    run_id: str = "0"
