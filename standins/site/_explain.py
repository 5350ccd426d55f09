"""Explanation of a record by the command-line tool."""

import json
import os
import subprocess
import sys
import tempfile
from typing import Any


def explain(record: str, settings: dict[str, Any]) -> str:
    """Return what ``jujubetiller explain`` prints for ``record``."""
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path[:]) or "."}
    with tempfile.NamedTemporaryFile("w", suffix=".json") as settings_file:
        json.dump(settings, settings_file)
        settings_file.flush()
        finished = subprocess.run(
            [
                *(sys.executable, "-m", "jujubetiller", "explain", record),
                *("--settings", settings_file.name),
            ],
            capture_output=True,
            text=True,
            env=environment,
            check=False,
        )
    return finished.stdout + finished.stderr
