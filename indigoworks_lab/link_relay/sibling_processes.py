"""Finds out which process opened a connection."""

import os
from collections.abc import Iterable, Iterator
from pathlib import Path

from indigoworks_lab.link_relay.socket_table import SocketTable

PROC = Path("/proc")
NAME_FLAG = b"--name="
STAT_PARENT_FIELD = 1
"""Place of the parent's pid in /proc/PID/stat, counted after the closing bracket of the name."""


class SiblingProcesses:
    """The processes that this one's parent started with `--name=NAME`, and their connections.

    All processes of a run share one loopback address, so a connection does not tell by its
    address who opened it; the kernel's table of sockets does.
    """

    def __init__(self) -> None:
        self._parent = os.getppid()
        self._sockets = SocketTable()
        self._known_pids: set[int] = set()

    def opener_of(self, local: tuple[str, int], remote: tuple[str, int]) -> str:
        """Return the name of the process that holds the socket from `local` to `remote`.

        :returns: empty where no sibling holds it.
        """
        inode = self._sockets.inode_of(local, remote)
        if not inode:
            return ""
        pid = _holder_of(inode, self._known_pids)
        if pid is None:
            # Perhaps a process that was started since.
            self._known_pids = set(self._pids())
            pid = _holder_of(inode, self._known_pids)
        return "" if pid is None else _name_of(pid)

    def _pids(self) -> Iterator[int]:
        for entry in PROC.iterdir():
            if entry.name.isdecimal() and _parent_of(int(entry.name)) == self._parent:
                yield int(entry.name)


def _holder_of(inode: int, pids: Iterable[int]) -> int | None:
    link = f"socket:[{inode}]"
    return next((pid for pid in pids if link in _open_links(pid)), None)


def _parent_of(pid: int) -> int | None:
    try:
        text = (PROC / str(pid) / "stat").read_text()
    except OSError:
        return None  # it has ended meanwhile
    return int(text.rpartition(")")[2].split()[STAT_PARENT_FIELD])


def _open_links(pid: int) -> set[str]:
    directory = PROC / str(pid) / "fd"
    links: set[str] = set()
    try:
        for entry in os.listdir(directory):
            links.add(_link_text(directory / entry))
    except OSError:
        pass  # it has ended meanwhile
    return links


def _link_text(path: Path) -> str:
    try:
        return os.readlink(path)
    except OSError:
        return ""


def _name_of(pid: int) -> str:
    try:
        arguments = (PROC / str(pid) / "cmdline").read_bytes().split(b"\0")
    except OSError:
        return ""
    for argument in arguments:
        if argument.startswith(NAME_FLAG):
            return argument.removeprefix(NAME_FLAG).decode()
    return ""
