"""Guards against a capacity page whose figures differ from the measured ones."""

import doctest

import pytest

from bench import capacity, capacity_slopes, design_scale, figures, overload_run


def test_the_page_is_what_the_command_generates() -> None:
    assert capacity.PAGE.read_text() == capacity.make_page(), (
        "run python -m bench.capacity"
    )


def test_the_page_follows_from_the_stored_figures(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    changed = {name: value * 2 for name, value in capacity_slopes.read().items()}
    monkeypatch.setattr(capacity_slopes, "read", lambda: changed)
    assert capacity.PAGE.read_text() != capacity.make_page()


def test_calls_are_shared_by_all_nodes() -> None:
    scale = design_scale.DesignScale()
    assert scale.calls_per_node == pytest.approx(227.5)
    assert scale.watch_reads_per_s == pytest.approx(56)


@pytest.mark.parametrize(
    ("value", "bound", "more_is_better", "verdict"),
    [
        (1.0, 2.0, False, "met"),
        (3.0, 2.0, False, "missed"),
        (3.0, 2.0, True, "met"),
        (1.0, 2.0, True, "missed"),
        (1.0, None, False, ""),
    ],
)
def test_a_missed_bound_is_shown(
    value: float, bound: float | None, more_is_better: bool, verdict: str
) -> None:
    figure = figures.Figure("name", value, "ms", None, bound, more_is_better)
    assert figure.verdict() == verdict


@pytest.mark.parametrize("module", [figures, overload_run, capacity])
def test_examples_hold(module: object) -> None:
    """Guards against wrong quantiles and recovery times; bench has no doctest run."""
    assert doctest.testmod(module).failed == 0  # type: ignore[arg-type]
