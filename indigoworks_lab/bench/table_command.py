"""The command that prints the table of experiments that were run before."""

from pathlib import Path

from indigoworks_lab.bench.report.figures_file import read_figures
from indigoworks_lab.bench.report.table import markdown_table


def run_table_command(directory: Path) -> int:
    """Print the table of all figures under `directory`; return the exit code."""
    figures = read_figures(directory)
    if not figures:
        print(f"No figures in {directory}; run `indigoworks-lab experiment` first.")
        return 1
    print(markdown_table(figures))
    return 0
