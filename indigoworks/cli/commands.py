"""The commands of `indigoworks`."""

from indigoworks.cli.admin_commands import explain_key, read_owners, read_status
from indigoworks.cli.flag_values import first_error, optional_text, required_text
from indigoworks.cli.node_command import query_node
from indigoworks.cli.pending_command import PendingCommand, refuse
from indigoworks.cli.process_flags import ProcessFlags
from indigoworks.cli.settings_commands import SettingsCommands


class Commands:
    """Routes requests to servers that own keys exclusively.

    Exit codes: 0 done, 1 refused, 2 misuse. Operator commands print JSON and query any router
    or controller: give --node http://IP:PORT or set INDIGOWORKS_NODE.
    """

    settings = SettingsCommands()

    def controller(
        self,
        *,
        settings: str | None = None,
        name: str | None = None,
        zone: str | None = None,
        host: str | None = None,
        listen_host: str | None = None,
        control_port: str | None = None,
        http_port: str | None = None,
        platform_url: str | None = None,
        controllers: str | None = None,
        group_id: str | None = None,
        log_level: str | None = None,
        seed: str | None = None,
    ) -> PendingCommand:
        """Run a controller until SIGTERM or SIGINT. Flags override the settings file.

        Args:
            settings: YAML or JSON file with the settings below, under the same names.
            name: name of this process, unique in the system.
            zone: zone in which this process runs.
            host: IP address at which other processes reach this one.
            listen_host: IP address to listen on; default: host.
            control_port: TCP port of the internal protocol.
            http_port: TCP port of administration, metrics and health.
            platform_url: base URL of the platform's services.
            controllers: some controllers to join, as IP:PORT,IP:PORT of the internal protocol.
            group_id: control group; default 0.
            log_level: DEBUG, INFO, WARNING or ERROR; default INFO.
            seed: seed of the random number generator; default: from the operating system.
        """
        from indigoworks.cli.controller_command import run_controller

        flags = ProcessFlags(
            settings,
            seed,
            {
                "name": name,
                "zone": zone,
                "host": host,
                "listen_host": listen_host,
                "control_port": control_port,
                "http_port": http_port,
                "platform_url": platform_url,
                "controllers": controllers,
                "group_id": group_id,
                "log_level": log_level,
            },
        )
        return PendingCommand(lambda: run_controller(flags))

    def router(
        self,
        *,
        settings: str | None = None,
        name: str | None = None,
        zone: str | None = None,
        host: str | None = None,
        listen_host: str | None = None,
        control_port: str | None = None,
        http_port: str | None = None,
        platform_url: str | None = None,
        controllers: str | None = None,
        group_id: str | None = None,
        log_level: str | None = None,
        seed: str | None = None,
    ) -> PendingCommand:
        """Run a router until SIGTERM or SIGINT. Flags override the settings file.

        Args:
            settings: YAML or JSON file with the settings below, under the same names.
            name: name of this process, unique in the system.
            zone: zone in which this process runs.
            host: IP address at which other processes reach this one.
            listen_host: IP address to listen on; default: host.
            control_port: TCP port of the internal protocol.
            http_port: TCP port of callers, administration, metrics and health.
            platform_url: base URL of the platform's services.
            controllers: some controllers to follow, as IP:PORT,IP:PORT of the internal protocol.
            group_id: control group; default 0.
            log_level: DEBUG, INFO, WARNING or ERROR; default INFO.
            seed: seed of the random number generator; default: from the operating system.
        """
        from indigoworks.cli.router_command import run_router

        flags = ProcessFlags(
            settings,
            seed,
            {
                "name": name,
                "zone": zone,
                "host": host,
                "listen_host": listen_host,
                "control_port": control_port,
                "http_port": http_port,
                "platform_url": platform_url,
                "controllers": controllers,
                "group_id": group_id,
                "log_level": log_level,
            },
        )
        return PendingCommand(lambda: run_router(flags))

    def owners(
        self,
        service: str | None = None,
        *,
        key: str | None = None,
        node: str | None = None,
    ) -> PendingCommand:
        """Print the ranges of keys and the servers that own them.

        Args:
            service: only this service; default: all services.
            key: only the range of this key, as text; needs the service.
            node: http://IP:PORT of any router or controller, or of a gateway's metrics;
                default: INDIGOWORKS_NODE.
        """
        error = first_error(optional_text("SERVICE", service), optional_text("--key", key))
        if error is not None:
            return refuse(error)
        return query_node(node, lambda client: read_owners(client, service, key))

    def status(self, *, node: str | None = None) -> PendingCommand:
        """Print leader, members, back ends and routers.

        Args:
            node: http://IP:PORT of any router or controller, or of a gateway's metrics;
                default: INDIGOWORKS_NODE.
        """
        return query_node(node, read_status)

    def explain(
        self,
        service: str,
        key: str,
        *,
        group: str | None = None,
        node: str | None = None,
    ) -> PendingCommand:
        """Print position and owner of a key, and the level that sets each of its settings.

        Args:
            service: name of the service.
            key: key, as text.
            group: group of the caller; default: the group `default`.
            node: http://IP:PORT of any router or controller; default: INDIGOWORKS_NODE.
        """
        error = first_error(
            required_text("SERVICE", service),
            required_text("KEY", key),
            optional_text("--group", group),
        )
        if error is not None:
            return refuse(error)
        return query_node(node, lambda client: explain_key(client, service, key, group))

    def story(self, request_id: str, *, log: str) -> PendingCommand:
        """Print what happened to a request, from the log lines of the gateways.

        Args:
            request_id: id of the request, as sent by its caller.
            log: file with log lines of one or several gateways, in any order.
        """
        from indigoworks.cli.story_command import report_story

        return PendingCommand(lambda: report_story(request_id, log))

    def losses(self, *, log: str, window_s: str | None = None) -> PendingCommand:
        """Print which requests were refused, lost or late, and why, from the gateways' log lines.

        Args:
            log: file with log lines of one or several gateways, in any order.
            window_s: length of the windows of the second table, in whole seconds; default: 2.
        """
        from indigoworks.cli.losses_command import report_losses

        return PendingCommand(lambda: report_losses(log, window_s))

    def owners_story(self, service: str, key: str, *, log: str) -> PendingCommand:
        """Print how the owner of a key changed, with reasons to doubt each change.

        Args:
            service: name of the service.
            key: number of the key, as logged for requests.
            log: file with log lines of one or several gateways, in any order.
        """
        from indigoworks.cli.owners_story_command import report_owners_story

        return PendingCommand(lambda: report_owners_story(service, key, log))
