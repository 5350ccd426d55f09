"""The measured figures from which the capacity page is computed."""

import json
import pathlib
from collections.abc import Iterable, Mapping

from bench import figures

PATH = pathlib.Path(__file__).parent.parent / "docs" / "capacity-slopes.json"

PREFIXES = (
    "call,",
    "entry node:",
    "peer node:",
    "resident memory:",
    "idle node:",
    "idle stream",
    "control at",
    "control memory",
    "control bytes",
    "join:",
    "platform list:",
    "platform index:",
    "simulated 420 nodes",
    "fleet of 48 in 3 zones",
)


def write(found: Iterable[figures.Figure]) -> None:
    """Write the figures that the page uses; keep those not measured again."""
    found = list(found)
    values = read() if PATH.exists() else {}
    values |= {
        figure.name: figure.value
        for figure in found
        if figure.name.startswith(PREFIXES)
    }
    values |= {
        f"{figure.name} (baseline)": figure.baseline
        for figure in found
        if figure.baseline is not None and figure.name.startswith("call,")
    }
    facts = figures.collect_machine_facts()
    document = {"machine": facts, "figures": dict(sorted(values.items()))}
    PATH.write_text(json.dumps(document, indent=1) + "\n")


def read() -> dict[str, float]:
    """Return the figures by name."""
    return dict(json.loads(PATH.read_text())["figures"])


def read_machine() -> Mapping[str, object]:
    """Return the facts of the machine on which the figures were measured."""
    return dict(json.loads(PATH.read_text())["machine"])
