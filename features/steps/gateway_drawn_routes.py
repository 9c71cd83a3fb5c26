"""Routes as large as an operator's, with names that nothing foretells."""

LETTERS = "abcdefghijklmnopqrstuvwxyz23456789"


def route(random):
    """Return a route as large as the operator's, with names that nothing foretells."""

    def word(length):
        return "".join(random.choice(LETTERS) for _ in range(length))

    return {
        "name": f"r-{word(7)}",
        "host": f"{random.choice('abcdefgh') * 4}.example",
        "path_prefix": f"/{word(8)}/",
        "kind": "safe",
        "timeout_ms": 1500,
        "aim_ms": 1000,
        "priority": 2,
        "service": "shop",
        "max_attempts": 2,
    }
