"""Entry point of `indigoworks-lab`."""

import fire

from indigoworks_lab.cli.lab_commands import LabCommands


def main() -> None:
    """Run the command named on the command line."""
    fire.Fire(LabCommands(), name="indigoworks-lab")


if __name__ == "__main__":
    main()
