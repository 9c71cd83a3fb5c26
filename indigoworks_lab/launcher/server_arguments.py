"""Command line of a stand-in back end."""

from indigoworks_lab.launcher.server_plan import ServerPlan


def server_arguments(server: ServerPlan) -> list[str]:
    """Return the arguments of `indigoworks-lab` that run `server`; more flags may follow."""
    return [
        "server",
        f"--name={server.name}",
        f"--service={server.service}",
        f"--zone={server.zone}",
        f"--host={server.http.host}",
        f"--port={server.http.port}",
        f"--slots={server.slots}",
        f"--connections={server.connections}",
        f"--seed={server.seed}",
    ]
