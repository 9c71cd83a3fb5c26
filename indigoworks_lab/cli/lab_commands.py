"""Commands of `indigoworks-lab`.

Each command imports what it runs when it is called: a process loads only its own part.
"""

import asyncio
import sys


class LabCommands:
    """Stand-ins, load and demo of indigoworks. Every process listens on loopback by default."""

    def platform(self, port: int, host: str = "127.0.0.1", seed: int = 0) -> None:
        """Run the stand-in of the platform until SIGTERM.

        :param port: TCP port of its HTTP interface.
        :param host: IP number to listen on.
        :param seed: seed of the choice of the answers it loses.
        """
        from indigoworks_lab.platform.platform_process import run_platform

        asyncio.run(run_platform(str(host), port, seed))

    def server(
        self,
        name: str,
        service: str,
        zone: str,
        port: int,
        host: str = "127.0.0.1",
        slots: int = 2,
        connections: int = 100,
        seed: int = 0,
        queue_limit: int = 8,
        service_median_ms: float = 4.0,
        service_sigma: float = 0.5,
        cold_requests: int = 50,
    ) -> None:
        """Run the stand-in of a back end until SIGTERM.

        :param name: name of the server.
        :param service: service whose keys it serves.
        :param zone: zone it stands in.
        :param port: TCP port of its HTTP interface.
        :param host: IP number to listen on.
        :param slots: requests it runs at a time.
        :param connections: connections it accepts.
        :param seed: seed of its random choices.
        :param queue_limit: requests that may wait for a slot; one more is shed.
        :param service_median_ms: median of the service time, in milliseconds.
        :param service_sigma: spread of the service time; 0 makes all alike.
        :param cold_requests: requests after the start that take longer.
        """
        from indigoworks_lab.backend.server_process import run_server

        exit_code = run_server(
            name=str(name),
            service=str(service),
            zone=str(zone),
            host=str(host),
            port=port,
            slots=slots,
            connections=connections,
            seed=seed,
            queue_limit=queue_limit,
            service_median_ms=service_median_ms,
            service_sigma=service_sigma,
            cold_requests=cold_requests,
        )
        sys.exit(exit_code)

    def relay(self, port: int, destinations: str, host: str = "127.0.0.1") -> None:
        """Relay TCP connections between the processes of a run until SIGTERM.

        :param port: TCP port of its HTTP interface, /lab/links.
        :param destinations: NAME@IP:PORT@IP:PORT joined by commas: process, where the relay
            listens for it, where the process listens.
        :param host: IP number of its HTTP interface.
        """
        from indigoworks_lab.link_relay.relay_destination import parse_destination
        from indigoworks_lab.link_relay.relay_process import run_relay

        parsed = [parse_destination(each) for each in _words(destinations)]
        asyncio.run(run_relay(str(host), port, parsed))

    def load(
        self,
        service: str,
        rate: float,
        seconds: float = 10.0,
        routers: str = "",
        backend: str = "",
        warm_up: float = 1.0,
        timeout: float = 2.0,
        keys: int = 10_000,
        zipf: float = 0.9,
        writes: float = 0.1,
        groups: str = "default",
        seed: int = 0,
        json: bool = False,
    ) -> None:
        """Send an open-loop load to routers, or directly to one back end; print the result.

        Exit code: 0 done, 1 nothing completed, 2 misuse.

        :param service: service that the keys belong to.
        :param rate: requests started per second.
        :param seconds: length of the counted part.
        :param routers: HTTP addresses of routers, ip:port, joined by commas.
        :param backend: HTTP address of a back end that no controller knows.
        :param warm_up: seconds before, not counted.
        :param timeout: seconds until the deadline of each request.
        :param keys: number of keys.
        :param zipf: skew of the keys; 0 draws all alike.
        :param writes: share of POST requests.
        :param groups: groups of the requests, joined by commas.
        :param seed: seed of moments, keys and methods.
        :param json: print JSON instead of text.
        """
        import os

        from indigoworks_lab.load.load_command import run_load_command
        from indigoworks_lab.load.load_plan import LoadPlan

        plan = LoadPlan(
            service=str(service),
            rate_per_s=rate,
            duration_s=seconds,
            warm_up_s=warm_up,
            timeout_s=timeout,
            keys=keys,
            zipf_exponent=zipf,
            write_ratio=writes,
            groups=tuple(_words(groups)),
            seed=seed,
            run_id=os.urandom(4).hex(),
        )
        sys.exit(run_load_command(plan, ",".join(_words(routers)), str(backend), json))

    def hop_cost(
        self,
        rate: float = 100.0,
        callers: int = 16,
        rounds: int = 3,
        seconds: float = 3.0,
        seed: int = 0,
        json_file: str = "",
        log_directory: str = "run/hop-cost",
    ) -> None:
        """Measure the same load directly, through one router and through two; print a table.

        Starts all processes itself, on loopback. Exit code: 0 done, 1 failed.

        :param rate: requests per second of the load for latencies; keep it below saturation.
        :param callers: callers of the load for throughput.
        :param rounds: rounds over all paths; the table has their medians.
        :param seconds: length of each measured part.
        :param seed: seed of moments, keys and methods.
        :param json_file: gets all figures as JSON.
        :param log_directory: gets one log file for each process.
        """
        from pathlib import Path

        from indigoworks_lab.load.hop_cost_command import run_hop_cost_command
        from indigoworks_lab.load.hop_cost_plan import HopCostPlan

        plan = HopCostPlan(
            rate_per_s=rate, callers=callers, rounds=rounds, part_s=seconds, seed=seed
        )
        report_file = Path(str(json_file)) if json_file else None
        sys.exit(run_hop_cost_command(plan, Path(str(log_directory)), report_file))

    def router_cost(
        self,
        requests: int = 1000,
        callers: int = 8,
        rounds: int = 5,
        seed: int = 0,
        profile: bool = False,
        against: str = "",
        json_file: str = "",
        log_directory: str = "run/router-cost",
    ) -> None:
        """Measure the processor time of a request in each process on its way; print a table.

        Starts all processes itself, on loopback. Exit code: 0 done, 1 failed.

        :param requests: requests of each round on each path.
        :param callers: requests under way at a time.
        :param rounds: rounds over both paths.
        :param seed: seed of keys and methods.
        :param profile: add one round under a profiler and print where the time goes.
        :param against: checkout of another version, which is measured in turn with this one.
        :param json_file: gets all figures as JSON.
        :param log_directory: gets one log file for each process, and the profiles.
        """
        from pathlib import Path

        from indigoworks_lab.load.router_cost_command import run_router_cost_command
        from indigoworks_lab.load.router_cost_plan import RouterCostPlan

        plan = RouterCostPlan(
            requests, callers, rounds, seed, profile, Path(str(against)) if against else None
        )
        report_file = Path(str(json_file)) if json_file else None
        sys.exit(run_router_cost_command(plan, Path(str(log_directory)), report_file))

    def demo(self, log_directory: str = "run/demo") -> None:
        """Start a deployment, exercise it, stop it; exit code 1 where anything failed.

        :param log_directory: gets one log file for each process.
        """
        from pathlib import Path

        from indigoworks_lab.demo.run_demo import run_demo

        sys.exit(asyncio.run(run_demo(Path(log_directory))))

    def experiment(
        self,
        name: str,
        seed: str = "0",
        against: str = "consistent-hashing",
        output: str = "run/experiment",
    ) -> None:
        """Measure the product against baselines on virtual time; write JSON figures and a plot.

        The same seed gives the same figures. Exit code: 0 done, 2 misuse.

        :param name: INSTALLATION-SCENARIO, as in amman-calm or fiji-hot-key.
        :param seed: seed of load, keys and events, or several joined by commas.
        :param against: baselines joined by commas: consistent-hashing, direct; empty for none.
        :param output: directory for the files.
        """
        from pathlib import Path

        from indigoworks_lab.bench.experiment_command import run_experiment_command

        seeds = [int(each) for each in _words(seed)]
        sys.exit(run_experiment_command(str(name), seeds, _words(against), Path(str(output))))

    def experiment_table(self, directory: str = "run/experiment") -> None:
        """Print a Markdown table of all figures that experiments wrote into a directory.

        :param directory: where the experiments wrote their files.
        """
        from pathlib import Path

        from indigoworks_lab.bench.table_command import run_table_command

        sys.exit(run_table_command(Path(str(directory))))


def _words(value: object) -> list[str]:
    """Return the words of a flag; fire hands over `a,b` as a tuple."""
    parts = value if isinstance(value, tuple | list) else str(value).split(",")
    return [str(part) for part in parts if str(part)]
