"""Guards against a priority class being shed before a less important one.

That would break promise P2 of docs/design.md.

Runs the real guards, pressure tables and entry admissions in the model of
``bench.policy_comparison``. The variant that queues in order of arrival and has no
entry admission shows that the check can fail.
"""

import pytest

from bench import overload_model, policy_comparison

LOAD = policy_comparison.Load(begins_ms=500, ends_ms=2_000, run_ends_ms=2_500)


@pytest.mark.parametrize(
    ("order", "admission", "is_kept"),
    [("priority", True, True), ("priority", False, True), ("arrival", False, False)],
)
@pytest.mark.parametrize("site", ["klang", "khomas"])
def test_the_most_important_class_is_shed_last(
    site: str, order: str, admission: bool, is_kept: bool
) -> None:
    variant = overload_model.Variant("gradient", order, admission)
    figures = policy_comparison.run(
        policy_comparison.SITES[site], variant, seed=1, load=LOAD
    )
    # All kinds of classes 0 to 2 need the overloaded service.
    first, second, third, _ = figures["good_share"]
    assert (first >= 0.9 and first > second > 2 * third) == is_kept, figures
