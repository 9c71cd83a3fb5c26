"""Drops attempts of some callers to connect to a listening socket, in the kernel."""

import ctypes
import ipaddress
import struct
from collections.abc import Collection
from socket import SOL_SOCKET
from typing import Protocol

SO_ATTACH_FILTER = 26
INSTRUCTION = "HBBI"
PROGRAM = "HL"
LOAD_WORD, JUMP_IF_EQUAL, RETURN = 0x20, 0x15, 0x06
SOURCE_ADDRESS = 0xFFF00000 + 12
"""Offset of the source address, counted from the IP header."""

WHOLE_PACKET, NO_PACKET = 0xFFFFFFFF, 0


class FilteredSocket(Protocol):
    """A listening socket."""

    def setsockopt(self, level: int, option: int, value: bytes, /) -> None:
        """Set an option."""


def drop_callers(listener: FilteredSocket, callers: Collection[str]) -> None:
    """Drop all packets that callers send to the listener, and no others.

    Their attempts to connect get no answer. Connections that were accepted earlier go on.
    """
    instructions = [(LOAD_WORD, 0, 0, SOURCE_ADDRESS)]
    for number, caller in enumerate(sorted(callers)):
        address = int(ipaddress.IPv4Address(caller))
        instructions.append((JUMP_IF_EQUAL, len(callers) - number, 0, address))
    instructions += [(RETURN, 0, 0, WHOLE_PACKET), (RETURN, 0, 0, NO_PACKET)]
    code = ctypes.create_string_buffer(
        b"".join(struct.pack(INSTRUCTION, *each) for each in instructions)
    )
    program = struct.pack(PROGRAM, len(instructions), ctypes.addressof(code))
    listener.setsockopt(SOL_SOCKET, SO_ATTACH_FILTER, program)
