"""What is wrong with the simulated servers' answers to orders."""

from dataclasses import dataclass

LATE_ORDER_S = (2.0, 12.0)


@dataclass
class ServerFaults:
    """Faults that act now.

    :ivar late_ratio: share of orders that are carried out LATE_ORDER_S later, unanswered.
    :ivar lost_ratio: share of orders that are carried out at once, unanswered.
    """

    late_ratio: float = 0.0
    lost_ratio: float = 0.0
