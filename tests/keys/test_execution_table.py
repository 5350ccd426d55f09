"""Guards against a key that runs twice or is dropped early, and an unbounded table."""

import attrs
import pytest

from jujubetiller import calls, clock, codes, keys, settings

State = keys.BeginState
EPOCH_MS = 1_000
KEY_SETTINGS = settings.KeySettings(
    epoch_ms=EPOCH_MS,
    epochs_kept=2,
    keys_per_epoch=10,
    answer_bytes=2_000,
    attached_per_key=1,
)
KEY = keys.ExecutionKey("ledger", "deposit", "ledger-1", "boot-1", 1, b"id")
LOST = calls.make_refusal(codes.ResultCode.TARGET_CLOSED_EARLY)


def ignore(answer: calls.CallAnswer) -> None:
    pass


def answered(size: int = 10, tokens: int = 0) -> calls.CallAnswer:
    return calls.CallAnswer(
        codes.Outcome.ANSWERED,
        codes.ResultCode.ANSWERED,
        status=200,
        body=b"x" * size,
        tokens_returned=tokens,
    )


def make_key(number: int, epoch: int = 1) -> keys.ExecutionKey:
    return attrs.evolve(KEY, key_id=str(number).encode(), epoch=epoch)


@pytest.fixture
def manual_clock() -> clock.ManualClock:
    return clock.ManualClock()


@pytest.fixture
def table(manual_clock: clock.ManualClock) -> keys.ExecutionTable:
    return keys.ExecutionTable(
        manual_clock, KEY_SETTINGS, "ledger-1", "ledger", "boot-1"
    )


def test_every_state_expects_a_begin_and_a_seal() -> None:
    for state in keys.KeyState:
        begun = keys.TRANSITIONS[state, keys.KeyEvent.BEGIN]
        assert begun.begin_state is not None
        sealed = keys.TRANSITIONS[state, keys.KeyEvent.SEAL]
        never_ran = state in (keys.KeyState.UNSEEN, keys.KeyState.SEALED)
        assert sealed.confirms_not_run is never_ran


@pytest.mark.parametrize(
    ("steps", "then", "sealed"),
    [
        ([], State.RUN_NOW, True),
        (["begin"], State.ATTACH, False),
        (["begin", "finish"], State.REPLAY, False),
        (["begin", "finish-large"], State.RAN_ANSWER_DROPPED, False),
        (["begin", "finish-lost"], State.REPLAY, False),
        (["begin", "not-run"], State.SEALED, True),
        (["begin", "finish-refused"], State.SEALED, True),
        (["begin", "not-run", "finish"], State.SEALED, True),
        (["begin", "finish", "not-run"], State.REPLAY, False),
        (["seal"], State.SEALED, True),
        (["seal", "finish"], State.SEALED, True),
    ],
)
def test_steps(
    table: keys.ExecutionTable, steps: list[str], then: State, sealed: bool
) -> None:
    actions = {
        "begin": lambda: table.begin(KEY, ignore),
        "finish": lambda: table.finish(KEY, answered()),
        "finish-large": lambda: table.finish(KEY, answered(3_000)),
        "finish-lost": lambda: table.finish(KEY, LOST),
        "finish-refused": lambda: table.finish(
            KEY, calls.make_refusal(codes.ResultCode.TARGET_SHED)
        ),
        "not-run": lambda: table.not_run(KEY),
        "seal": lambda: table.seal(KEY),
    }
    for step in steps:
        actions[step]()
    if steps:
        assert table.seal(KEY) is sealed
    assert table.begin(KEY, ignore).state is then
    assert table.begin_counts[then] >= 1


@pytest.mark.parametrize(
    ("changes", "then", "sealed"),
    [
        ({"owner_boot_id": "boot-0"}, State.NOT_MINE, False),
        ({"owner_instance": "ledger-2"}, State.NOT_MINE, False),
        ({"owner_boot_id": "boot-0", "service": "x"}, State.NOT_MINE, False),
        ({"service": "booth"}, State.WRONG_SERVICE, True),
        ({"epoch": 3}, State.EXPIRED, False),
        ({"epoch": -2}, State.EXPIRED, False),
        ({"epoch": 2}, State.RUN_NOW, True),
        ({"epoch": -1}, State.RUN_NOW, True),
    ],
)
def test_keys_of_other_processes_services_and_epochs(
    table: keys.ExecutionTable, changes: dict[str, object], then: State, sealed: bool
) -> None:
    key = attrs.evolve(KEY, **changes)  # type: ignore[arg-type]
    assert table.begin(key, ignore).state is then
    if then is not State.RUN_NOW:
        assert table.seal(key) is sealed
        assert table.count_keys() == 0


def test_attached_callers_get_the_same_answer_without_the_first_ones_tokens(
    table: keys.ExecutionTable,
) -> None:
    got: list[calls.CallAnswer] = []
    table.begin(KEY, ignore)
    assert table.begin(KEY, got.append).state is State.ATTACH
    assert table.begin(KEY, got.append).state is State.FULL, "attached_per_key is 1"
    table.detach(KEY, got.append)
    assert table.begin(KEY, got.append).state is State.ATTACH
    assert table.count_attached(KEY) == 1
    table.finish(KEY, answered(tokens=3))
    assert got == [answered()]
    assert table.begin(KEY, ignore) == keys.Begin(State.REPLAY, answered())


def test_a_key_is_stored_until_its_epoch_is_refused(
    table: keys.ExecutionTable, manual_clock: clock.ManualClock
) -> None:
    got: list[calls.CallAnswer] = []
    table.begin(KEY, ignore)
    table.begin(KEY, got.append)
    table.begin(make_key(2), ignore)
    table.finish(make_key(2), answered())
    for _ in range(KEY_SETTINGS.epochs_kept):
        manual_clock.advance(EPOCH_MS)
        assert table.begin(make_key(2), ignore).state is State.REPLAY
    manual_clock.advance(EPOCH_MS)
    assert table.begin(make_key(2), ignore).state is State.EXPIRED
    assert table.begin(make_key(3, epoch=4), ignore).state is State.RUN_NOW
    assert (table.count_keys(), table.recorded.held_bytes) == (1, 0)
    table.finish(KEY, answered())
    assert got == [answered()], "attached before the epoch was dropped"
    assert table.unexpected_events == 0


def test_the_table_is_bounded_in_keys_and_bytes(table: keys.ExecutionTable) -> None:
    for number in range(KEY_SETTINGS.keys_per_epoch):
        assert table.begin(make_key(number), ignore).state is State.RUN_NOW
        table.finish(make_key(number), answered(100))
    assert table.recorded.held_bytes <= KEY_SETTINGS.answer_bytes
    assert table.answers_dropped == 6
    table.begin(make_key(0, epoch=2), ignore)
    table.finish(make_key(0, epoch=2), answered(3_000))
    assert table.answers_dropped == 7, "one that never fits drops no other answer"
    dropped, stored = (table.begin(make_key(number), ignore) for number in (0, 9))
    assert (dropped.state, stored.state) == (State.RAN_ANSWER_DROPPED, State.REPLAY)
    assert table.begin(make_key(10), ignore).state is State.FULL
    assert not table.seal(make_key(11)), "a seal that is not stored is not confirmed"
    assert (table.begin_counts[State.FULL], table.seals_refused) == (1, 1)
