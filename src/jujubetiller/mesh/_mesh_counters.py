"""Metrics of the counters that the components of a mesh node keep."""

from collections.abc import Iterable, Mapping

from jujubetiller import (
    admission,
    crashes,
    limits,
    metrics,
    notices,
    published,
    routing,
    teams,
)
from jujubetiller.mesh import (
    _key_check,
    _mesh_parts,
    _store_reading,
    _team_changes,
)


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


def read_keys(parts: _mesh_parts.MeshParts) -> Mapping[str, float]:
    """Return the numbers of teams and keys, and the age of what is known of them.

    The age is -1 while nothing is known of the store.
    """
    configuration = parts.configuration.current
    table = teams.TeamTable() if configuration is None else configuration.team_table
    age_ms = _key_check.describe_age(parts.state_age.age_ms())
    return {
        **{name: float(n) for name, n in _team_changes.describe_teams(table).items()},
        "age_ms": -1.0 if age_ms is None else float(age_ms),
        "is_current": float(parts.keys.are_current),
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
    router, policy = parts.router, parts.guard.policy
    if isinstance(router, routing.RoomWeightedRouter):
        yield metrics.CounterGroup(
            "placing",
            "Choices of instances by the room that targets' nodes report.",
            router.read_counters,
        )
    if isinstance(policy, limits.LearnedLimitPolicy):
        yield metrics.CounterGroup(
            "target_limit",
            "The learned limit of the node's target and what it is based on.",
            policy.read_values,
            is_counter=False,
        )
    yield from admission.make_groups(parts.admission)
    yield from notices.make_groups(parts.guard, parts.notices)
    yield from crashes.make_groups(parts.containment, parts.watch)
    yield metrics.CounterGroup(
        "keys_refused",
        "Requests refused for their API keys or the age of the keys, by reason.",
        lambda: parts.keys.refused,
    )
    yield metrics.CounterGroup(
        "keys_in_force",
        "Teams, their API keys, and the age of the node's knowledge of the store.",
        lambda: read_keys(parts),
        is_counter=False,
    )
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
