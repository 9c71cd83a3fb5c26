"""Print the encoded sizes of typical messages: python -m indigoworks_lab.load.message_sizes.

The figures depend on nothing but the protocol and the sample records, so every run gives the same.
"""

from collections.abc import Mapping

from indigoworks_lab.load.sample_messages import frame_sizes, lease_sizes, record_sizes


def main() -> None:
    """Print three tables."""
    _print_table("frames of the internal protocol, bytes", frame_sizes())
    _print_table("JSON bodies of the lease protocol, bytes", lease_sizes())
    _print_table("each further record, bytes", record_sizes())


def _print_table(title: str, sizes: Mapping[str, int]) -> None:
    print(title)
    for name, size in sizes.items():
        print(f"  {name:48} {size:7}")


if __name__ == "__main__":
    main()
