"""Scripted servers that ask for rest in their answers."""

from gateway_scripted_server import BEHAVIOURS, NAMES, Behaviour, answer


def turns_away(rest: str) -> Behaviour:
    """Answer that the request has not run, and ask for rest in the words of `rest`."""

    async def behaviour(server, request, writer):
        headers = (f"{NAMES.not_run}: shed", f"Retry-After: {rest}")
        writer.write(answer(request, 503, b"shed", headers))
        return True

    return behaviour


async def turns_away_cut_short(server, request, writer):
    headers = (f"{NAMES.not_run}: shed", "Retry-After: 3")
    writer.write(answer(request, 503, b"shed", headers, length=5))
    return False


async def turns_another_away_first(server, request, writer):
    headers = (f"{NAMES.not_run}: shed", "Retry-After: 3")
    writer.write(answer(request, 503, b"shed", headers, request_id="another"))
    writer.write(answer(request))
    return True


async def held_then_turns_away(server, request, writer):
    """As `held`; the answer asks for rest."""
    await server.turns.acquire()
    server.working.discard(request)
    return await turns_away("3")(server, request, writer)


def says_leaving(status: int) -> Behaviour:
    """Answer with `status`, and that the server leaves."""

    async def behaviour(server, request, writer):
        headers = ["Server-Leaving: 1"] + ([f"{NAMES.not_run}: shed"] if status == 503 else [])
        writer.write(answer(request, status, headers=headers))
        return True

    return behaviour


async def says_leaving_in_cut_answer(server, request, writer):
    writer.write(answer(request, 500, headers=("Server-Leaving: 1",), length=1000))
    return False


async def says_staying(server, request, writer):
    writer.write(answer(request, headers=("Server-Leaving: 0",)))
    return True


BEHAVIOURS.update(
    {
        "says that it leaves": says_leaving(200),
        "says that it leaves with 500": says_leaving(500),
        "says that it leaves and turns away": says_leaving(503),
        "says that it leaves in a cut answer": says_leaving_in_cut_answer,
        "says that it stays": says_staying,
        "asks for 3 s of rest": turns_away("3"),
        "asks for 1 s of rest": turns_away("1"),
        "asks for a year of rest": turns_away("31536000"),
        "asks for rest until a date": turns_away("Wed, 21 Oct 2099 07:28:00 GMT"),
        "asks for -3 s of rest": turns_away("-3"),
        "asks for nan s of rest": turns_away("nan"),
        "asks for some rest": turns_away("some"),
        "asks for 0 s of rest": turns_away("0"),
        "asks for 3 s of rest in a cut answer": turns_away_cut_short,
        "asks for 3 s of rest in a surplus answer": turns_another_away_first,
        "holds and asks for 3 s of rest": held_then_turns_away,
    }
)
