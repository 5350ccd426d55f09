"""Guards against crashes that are laid to the wrong request, or to none."""

import itertools

import pytest

from jujubetiller import clock, crashes, settings

CLEAR = crashes.Standing.CLEAR
SUSPECT = crashes.Standing.SUSPECT
BLAMED = crashes.Standing.BLAMED

DEADLY, OTHER, THIRD = 1, 2, 3
SETTINGS = settings.CrashSettings()


class Evidence(crashes.CrashEvidence):
    """Evidence on a clock that the test advances."""

    def __init__(self, crash_settings: settings.CrashSettings = SETTINGS) -> None:
        self.manual_clock = clock.ManualClock()
        super().__init__(self.manual_clock, crash_settings)

    def standings(self) -> list[crashes.Standing]:
        return [self.find_standing(each) for each in (DEADLY, OTHER, THIRD)]


def test_all_that_ran_at_the_first_crash_are_suspects() -> None:
    evidence = Evidence()
    evidence.record_crash("a", [DEADLY, OTHER])
    assert evidence.standings() == [SUSPECT, SUSPECT, CLEAR]


def test_the_only_suspect_at_the_next_crash_is_blamed_and_the_others_are_not() -> None:
    evidence = Evidence()
    evidence.record_crash("a", [OTHER, DEADLY])
    evidence.record_crash("b", [THIRD, DEADLY])
    assert evidence.standings() == [BLAMED, CLEAR, CLEAR]
    assert evidence.verdicts[DEADLY].crashes == 2


def test_of_several_suspects_at_a_crash_none_is_blamed() -> None:
    evidence = Evidence()
    evidence.record_crash("a", [DEADLY, OTHER])
    evidence.record_crash("b", [DEADLY, OTHER, THIRD])
    assert evidence.standings() == [SUSPECT, SUSPECT, CLEAR]


def test_a_request_that_ended_with_a_response_is_no_suspect() -> None:
    evidence = Evidence()
    evidence.record_crash("a", [DEADLY, OTHER])
    evidence.record_response(OTHER)
    assert evidence.standings() == [SUSPECT, CLEAR, CLEAR]


def test_one_crash_that_several_nodes_report_counts_once() -> None:
    evidence = Evidence()
    evidence.record_crash("a", [DEADLY])
    report = evidence.record_crash("b", [DEADLY])
    assert not evidence.merge([report, report])
    assert evidence.verdicts[DEADLY].crashes == 2


@pytest.mark.parametrize(
    ("failed_trials", "refusal_ms"),
    [(0, 30_000), (1, 240_000), (2, 1_920_000), (3, 15_360_000), (9, 86_400_000)],
)
def test_each_failed_trial_makes_the_refusal_longer(
    failed_trials: int, refusal_ms: float
) -> None:
    evidence = Evidence()
    for number in range(2 + failed_trials):
        evidence.record_crash(str(number), [DEADLY])
    evidence.manual_clock.advance(refusal_ms - 1.0)
    assert evidence.find_standing(DEADLY) is BLAMED
    evidence.manual_clock.advance(1.0)
    assert evidence.find_standing(DEADLY) is SUSPECT


def test_a_request_that_was_blamed_wrongly_is_cleared_for_good_by_its_trial() -> None:
    evidence = Evidence()
    reports = [evidence.record_crash(name, [DEADLY]) for name in ("a", "b")]
    evidence.manual_clock.advance(SETTINGS.first_refusal_ms)
    evidence.record_response(DEADLY)
    assert evidence.find_standing(DEADLY) is CLEAR
    # A peer that has not heard of the trial sends its reports again.
    evidence.merge(reports)
    assert evidence.find_standing(DEADLY) is CLEAR


def test_reports_lead_to_the_same_standings_in_any_order() -> None:
    sender = Evidence()
    reports = [
        sender.record_crash("a", [OTHER, DEADLY]),
        *sender.record_response(THIRD),
        sender.record_crash("b", [DEADLY, THIRD]),
        sender.record_crash("c", [OTHER, THIRD]),
    ]
    reports += sender.record_response(OTHER)
    for order in itertools.permutations(reports):
        receiver = Evidence()
        for report in order:
            receiver.merge([report])
        assert receiver.standings() == sender.standings() == [BLAMED, CLEAR, SUSPECT]
        assert receiver.reports.digest() == sender.reports.digest()


def test_suspicion_ends_and_a_verdict_outlasts_its_refusal() -> None:
    evidence = Evidence()
    evidence.record_crash("a", [OTHER])
    evidence.record_crash("b", [DEADLY])
    evidence.record_crash("c", [DEADLY])
    evidence.manual_clock.advance(2 * SETTINGS.first_refusal_ms - 1.0)
    evidence.expire()
    assert evidence.standings() == [SUSPECT, SUSPECT, CLEAR]
    evidence.manual_clock.advance(1.0)
    assert evidence.expire()
    assert evidence.standings() == [CLEAR, CLEAR, CLEAR]
    assert evidence.is_empty()
    assert not evidence.arrivals


def test_a_flood_of_crashes_drops_the_oldest_and_counts_them() -> None:
    evidence = Evidence(settings.CrashSettings(max_reports=8))
    for number in range(20):
        evidence.manual_clock.advance(1.0)
        evidence.record_crash(f"{number:02}", [100 + number])
    assert sorted(evidence.reports.by_id) == [f"{n:02}" for n in range(12, 20)]
    assert evidence.reports.dropped == 12
    assert evidence.find_standing(100) is CLEAR


def test_the_suspect_that_comes_most_often_and_started_last_is_tried_first() -> None:
    evidence = Evidence()
    evidence.record_crash("a", [THIRD, OTHER, DEADLY])
    assert sorted((OTHER, THIRD, DEADLY), key=evidence.rank) == [THIRD, OTHER, DEADLY]
    evidence.record_arrival(DEADLY)
    assert min((OTHER, THIRD, DEADLY), key=evidence.rank) == DEADLY


def test_the_only_request_that_ran_at_three_crashes_at_once_is_blamed() -> None:
    evidence = Evidence()
    reports = [
        Evidence().record_crash(name, [other, DEADLY])
        for name, other in (("a", OTHER), ("b", THIRD), ("c", 4))
    ]
    evidence.merge(reports)
    assert evidence.standings() == [BLAMED, CLEAR, CLEAR]


def test_of_two_requests_that_ran_at_the_same_crashes_none_is_blamed() -> None:
    evidence = Evidence()
    evidence.merge(
        [Evidence().record_crash(name, [OTHER, DEADLY]) for name in ("a", "b", "c")]
    )
    assert evidence.standings() == [SUSPECT, SUSPECT, CLEAR]


def test_a_crash_under_very_many_requests_fits_into_a_message() -> None:
    evidence = Evidence()
    report = evidence.record_crash("a", range(10_000))
    body = crashes.CrashMessage(reports=(report,)).encode(0.0)
    assert crashes.decode_message(body, 0.0).unwrap().reports == (report,)
