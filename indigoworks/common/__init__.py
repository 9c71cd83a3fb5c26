"""Code shared by the processes of the system: clocks, queues, logs, metrics and key ranges."""
