"""The bench: routing, queueing and placement measured on virtual time, against baselines."""
