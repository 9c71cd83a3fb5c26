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


BEHAVIOURS.update(
    {
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
