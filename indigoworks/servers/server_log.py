"""Log lines on single servers."""

from eliot import log_message

from indigoworks.servers.server_record import ServerRecord


def log_server(message_type: str, record: ServerRecord, **fields: object) -> None:
    """Log a line that names a server, its entry and `fields`."""
    log_message(
        message_type=message_type,
        server=record.server_id,
        service=record.service,
        address=str(record.address),
        version=str(record.version),
        **fields,
    )
