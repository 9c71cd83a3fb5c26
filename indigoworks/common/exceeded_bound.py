"""Ways in which a response exceeds what it may contain."""

from enum import Enum


class ExceededBound(Enum):
    """Bounds of a response; one that exceeds any of them counts as truncated."""

    STATUS_LINE = "status_line"
    """The status line: HTTP does not allow it, or it names a switch that nobody asked for."""
    HEAD = "head"
    """Bytes of a head, or of one line of it."""
    HEAD_LINES = "head_lines"
    """Lines of all heads of one response."""
    INTERIM = "interim"
    """Interim responses before the final one."""
    LENGTH = "length"
    """The declared length of the body."""
    CHUNK_LINE = "chunk_line"
    """A line that begins a chunk: its extensions."""
    CHUNKS = "chunks"
    """Number of chunks."""
    BODY = "body"
    """Bytes of a body in chunks, or of one that ends with its connection."""
    SURPLUS = "surplus"
    """Bytes after a complete response."""
    MEMORY = "memory"
    """The process has no room for more of it, see `ByteBudget`."""
