"""Stand-ins, load and experiments. Never imported by the product."""
