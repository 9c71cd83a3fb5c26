"""Figures as files."""

import json
from pathlib import Path

from indigoworks_lab.bench.figures.run_figures import RunFigures

SUFFIX = ".figures.json"


def write_figures(figures: RunFigures, directory: Path) -> Path:
    """Write the figures of one run; the same figures give the same bytes."""
    parts = (figures.installation, figures.scenario, figures.variant, str(figures.seed))
    path = directory / ("-".join(parts) + SUFFIX)
    path.write_text(json.dumps(figures.model_dump(), indent=1, sort_keys=True) + "\n")
    return path


def read_figures(directory: Path) -> list[RunFigures]:
    """Return the figures of all runs in a directory, by file name."""
    paths = sorted(directory.glob(f"*{SUFFIX}"))
    return [RunFigures.model_validate_json(path.read_bytes()) for path in paths]
