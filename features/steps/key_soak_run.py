"""Short soaks of servers that hold keys, for scenarios."""

import shutil
import tempfile
from pathlib import Path

from key_soak_world import KeySoakWorld

SHORT_GATEWAYS = 3
SHORT_SERVERS = 4


def run_short_soak(context, seed, plan, seconds, besides=None, **options):
    """Run a soak, and return what its servers recorded."""
    folder = Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, folder)

    async def run():
        world = KeySoakWorld(seed, folder, SHORT_GATEWAYS, SHORT_SERVERS, **options)
        await world.run(plan, seconds, besides)
        return world.history

    return context.run_async(run())
