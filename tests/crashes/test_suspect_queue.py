"""Guards against suspects that run beside each other, or wait for nothing."""

from jujubetiller import calls, clock, codes, crashes, settings

ONE, TWO, THREE = 1, 2, 3
TRIAL_MS = 500.0


class Queue(crashes.SuspectQueue):
    """A queue that records what it does with calls named by their fingerprints."""

    def __init__(self, **bounds: int) -> None:
        self.manual_clock = clock.ManualClock()
        self.trials: list[tuple[int, float]] = []
        self.started: list[int] = []
        self.refusals: list[tuple[int, codes.ResultCode]] = []
        self.can_spare_instance = True
        self.instance_leaves = False
        crash_settings = settings.CrashSettings(**bounds)
        super().__init__(
            self.manual_clock,
            crashes.CrashEvidence(self.manual_clock, crash_settings),
            crash_settings,
            lambda trial: self.trials.append((trial.fingerprint, trial.lasts_ms)),
            lambda: self.can_spare_instance,
            lambda: self.instance_leaves,
        )
        self.evidence.record_crash("first", [ONE, TWO, THREE])

    def send(self, fingerprint: int, left_ms: float = TRIAL_MS) -> crashes.SuspectCall:
        call = crashes.SuspectCall(
            fingerprint,
            calls.Deadline.after(self.manual_clock, left_ms),
            calls.Deadline.after(self.manual_clock, left_ms / 2.0),
            lambda: self.started.append(fingerprint),
            lambda code: self.refusals.append((fingerprint, code)),
        )
        self.submit(call)
        return call


def test_a_request_that_is_no_suspect_starts_at_once() -> None:
    queue = Queue()
    queue.send(ONE)
    queue.send(9)
    assert queue.started == [ONE, 9]


def test_suspects_run_one_after_the_other() -> None:
    queue = Queue()
    first = queue.send(ONE)
    queue.send(TWO)
    queue.send(TWO)
    assert queue.started == [ONE]
    queue.finish(first)
    assert queue.started == [ONE, TWO]
    assert queue.trials == [(ONE, TRIAL_MS), (ONE, 0.0), (TWO, TRIAL_MS)]


def test_a_suspect_that_another_node_tries_waits_for_its_end() -> None:
    queue = Queue()
    queue.record_trials([crashes.Trial(ONE, 400.0)])
    queue.send(ONE)
    queue.send(TWO)
    assert queue.started == [TWO]
    queue.record_trials([crashes.Trial(ONE, 0.0)])
    assert queue.started == [TWO]


def test_a_trial_elsewhere_whose_end_is_never_told_ends_by_itself() -> None:
    queue = Queue()
    queue.record_trials([crashes.Trial(ONE, 400.0)])
    queue.send(ONE, left_ms=1_000.0)
    queue.manual_clock.advance(401.0)
    queue.advance()
    assert queue.started == [ONE]


def test_calls_that_wait_follow_the_standing_of_their_requests() -> None:
    queue = Queue()
    running = queue.send(ONE)
    queue.send(TWO)
    queue.send(ONE)
    queue.evidence.record_crash("second", [ONE])
    queue.finish(running)
    assert queue.started == [ONE, TWO]
    assert queue.refusals == [(ONE, codes.ResultCode.REQUEST_CRASHES_TARGETS)]
    assert not queue.waiting


def test_a_suspect_is_refused_as_not_run_while_its_caller_can_come_again() -> None:
    queue = Queue()
    queue.send(ONE)
    queue.send(TWO, left_ms=100.0)
    queue.manual_clock.advance(50.0)
    queue.advance()
    assert queue.refusals == [(TWO, codes.ResultCode.SUSPECT_NOT_TRIED)]
    assert codes.describe(queue.refusals[0][1]).outcome is codes.Outcome.NOT_RUN


def test_more_calls_than_may_wait_are_refused_and_counted() -> None:
    queue = Queue(max_waiting=1)
    for _ in range(4):
        queue.send(ONE)
    assert queue.started == [ONE]
    assert len(queue.refusals) == queue.refused == 2


def test_a_cancelled_call_gives_way_to_the_next() -> None:
    queue = Queue()
    running, waiting = queue.send(ONE), queue.send(TWO)
    queue.cancel(waiting)
    queue.send(THREE)
    queue.cancel(running)
    assert queue.started == [ONE, THREE]
    assert queue.refusals == []


def test_no_suspect_runs_at_the_last_instance_of_the_service() -> None:
    queue = Queue()
    queue.can_spare_instance = False
    queue.send(ONE)
    queue.send(9)
    assert queue.started == [9]
    queue.can_spare_instance = True
    queue.advance()
    assert queue.started == [9, ONE]


def test_calls_do_not_wait_for_a_trial_at_an_instance_that_leaves() -> None:
    """Guards against suspects that are started when their instance is about to end."""
    queue = Queue()
    running = queue.send(ONE)
    queue.send(TWO)
    queue.send(THREE)
    queue.instance_leaves = True
    queue.advance()
    assert queue.refusals == [
        (TWO, codes.ResultCode.DRAINING),
        (THREE, codes.ResultCode.DRAINING),
    ]
    queue.finish(running)
    assert queue.started == [ONE]
