"""Builds the admission by cost of a node."""

import random

from jujubetiller import clock, limits, settings
from jujubetiller.admission import _node_admission


def build_node_admission(
    node_settings: settings.MeshSettings,
    time_source: clock.Clock,
    random_source: random.Random,
    guard: limits.TargetGuard,
) -> _node_admission.NodeAdmission | None:
    """Return the admission by cost, or None if the settings don't ask for it."""
    if node_settings.features.admission != "cost":
        return None
    return _node_admission.NodeAdmission(
        time_source, random_source, guard, node_settings.service
    )
