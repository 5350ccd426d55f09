"""Metrics of the counters that the components of a mesh node keep."""

from collections.abc import Iterable, Mapping

from jujubetiller import admission, crashes, metrics, notices, published
from jujubetiller.mesh import _mesh_parts, _store_reading


def read_routing(parts: _mesh_parts.MeshParts) -> Mapping[str, float]:
    """Return the numbers of requests for which no instance could be chosen."""
    return {
        "no_instance": parts.router.no_instance_refusals,
        "rate_limited": parts.router.rate_limited_refusals,
    }


def read_published(
    parts: _mesh_parts.MeshParts,
    state: published.PublishedState,
    source: published.ItemSource,
) -> Mapping[str, float]:
    """Return the numbers of items and answers that were not applied, by reason."""
    return {
        **source.read_counters(),
        "older": state.ignored,
        "retained_over_bound": state.retained.refused,
        "observer_error": state.observer_errors,
        "configuration_rejected": parts.configuration.rejected,
        "instance_rejected": parts.directory.rejected,
    }


def make_reading_group(
    reading: _store_reading.StoreReading,
) -> metrics.CounterGroup:
    """Return the counters of the node's part in reading the store."""
    return metrics.CounterGroup(
        "store_reading",
        "Whether the node reads the store, and messages about it that were not taken.",
        lambda: {
            "reads": float(reading.is_reading),
            "push_not_taken": reading.pusher.failed,
            "held_over_bound": reading.held.refused,
        },
        is_counter=False,
    )


def make_groups(
    parts: _mesh_parts.MeshParts,
    state: published.PublishedState,
    source: published.ItemSource,
) -> Iterable[metrics.CounterGroup]:
    """Return the counter groups of a node."""
    yield metrics.CounterGroup(
        "published_ignored",
        "Published items and answers that were not applied, by reason.",
        lambda: read_published(parts, state, source),
    )
    yield from admission.make_groups(parts.admission)
    yield from notices.make_groups(parts.guard, parts.notices)
    yield from crashes.make_groups(parts.containment, parts.watch)
    yield metrics.CounterGroup(
        "guard_refused",
        "Calls that the guard of the target refused, by result code.",
        lambda: notices.read_guard(parts.guard),
    )
    yield metrics.CounterGroup(
        "routing",
        "Requests for which this node could not choose an instance.",
        lambda: read_routing(parts),
    )
