"""Guards against a second run of a key, and a run after "not run" was reported.

Hypothesis chooses the order of the steps of ``bench.key_world``. The faulty
variants prove that its checks can fail.
"""

from collections.abc import Callable
from typing import Any

import hypothesis
import pytest
from hypothesis import stateful, strategies

from bench import key_use, key_world
from jujubetiller import calls, keys

numbers = strategies.integers(0, 30)
entries = strategies.sampled_from(key_world.ENTRIES)
instances = strategies.sampled_from(key_world.INSTANCES)
then = strategies.sampled_from(["wait", "deliver", "keep copies"])
MACHINE_SETTINGS = hypothesis.settings(
    derandomize=True,
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def make_machine(
    make_world: Callable[[], key_world.KeyWorld],
) -> type[stateful.RuleBasedStateMachine]:
    class KeyMachine(stateful.RuleBasedStateMachine):
        def __init__(self) -> None:
            super().__init__()
            self.world = make_world()

        def pick(self, items: list[Any], number: int) -> Any:
            """Prefer late items, which are the most likely to be unfinished."""
            return items[-1 - number % len(items)]

        def process_of(self, attempt: key_world.Attempt, number: int) -> Any:
            """Mostly return a process of the owner instance, of any boot id."""
            named = [
                process
                for process in self.world.processes
                if process.instance == attempt.key.owner_instance or number > 28
            ]
            return self.pick(named, number)

        def send(self, attempt: key_world.Attempt, number: int, then: str) -> None:
            self.world.send(attempt, self.process_of(attempt, number))
            if then != "wait":
                self.deliver_all(keep_copies=then == "keep copies", refuses=False)

        @stateful.rule(entry=entries, instance=instances, number=numbers, then=then)
        def mint_and_send(
            self, entry: str, instance: str, number: int, then: str
        ) -> None:
            self.send(self.world.mint(entry, instance), number, then)

        @stateful.rule(entry=entries, instance=instances, other=strategies.booleans())
        def mint(self, entry: str, instance: str, other: bool) -> None:
            service = key_world.OTHER_SERVICE if other else key_world.SERVICE
            self.world.mint(entry, instance, service)

        @stateful.rule(keep_copies=strategies.booleans(), refuses=strategies.booleans())
        def deliver_all(self, keep_copies: bool, refuses: bool) -> None:
            for message in list(self.world.messages):
                self.world.deliver(message, keep_copies)
            if refuses:
                self.refuse_queued()
            self.run_or_finish(whole=True)
            self.run_or_finish(whole=True)

        @stateful.precondition(lambda self: self.world.attempts)
        @stateful.rule(which=numbers, entry=entries, instance=instances)
        def mint_again(self, which: int, entry: str, instance: str) -> None:
            attempt = self.pick(self.world.attempts, which)
            self.world.mint_again(attempt, entry, instance)

        @stateful.precondition(lambda self: self.world.attempts)
        @stateful.rule(which=numbers, number=numbers, then=then)
        def repeat_and_send(self, which: int, number: int, then: str) -> None:
            attempt = self.world.repeat(self.pick(self.world.attempts, which))
            if attempt is not None:
                self.send(attempt, number, then)

        @stateful.precondition(lambda self: self.world.attempts)
        @stateful.rule(which=numbers, number=numbers)
        def refuse(self, which: int, number: int) -> None:
            attempt = self.pick(self.world.attempts, which)
            self.world.refuse(attempt, self.process_of(attempt, number))

        @stateful.precondition(lambda self: self.world.attempts)
        @stateful.rule(which=numbers)
        def time_out(self, which: int) -> None:
            self.world.time_out(self.pick(self.world.attempts, which))

        @stateful.precondition(lambda self: self.world.messages)
        @stateful.rule(which=numbers, keep_copy=strategies.booleans())
        def deliver(self, which: int, keep_copy: bool) -> None:
            self.world.deliver(self.pick(self.world.messages, which), keep_copy)

        @stateful.precondition(lambda self: self.world.messages)
        @stateful.rule(which=numbers)
        def lose(self, which: int) -> None:
            self.world.messages.remove(self.pick(self.world.messages, which))

        @stateful.rule(whole=strategies.booleans())
        def run_or_finish(self, whole: bool) -> None:
            for process in self.world.processes:
                if process.running and not process.paused:
                    self.world.finish_running(process, whole)
                if process.queued and not process.paused:
                    self.world.run_queued(process)

        @stateful.rule()
        def refuse_queued(self) -> None:
            for process in self.world.processes:
                if process.queued and not process.paused:
                    self.world.refuse_queued(process)

        @stateful.rule(which=numbers)
        def pause_or_wake(self, which: int) -> None:
            process = self.pick(self.world.processes, which)
            if process.paused:
                self.world.wake(process)
            else:
                process.paused = True

        @stateful.rule(instance=instances, pauses=strategies.booleans())
        def replace(self, instance: str, pauses: bool) -> None:
            for process in self.world.processes:
                process.paused |= pauses and process.instance == instance
            self.world.start(instance)

        @stateful.rule(entry=entries, which=numbers)
        def learn(self, entry: str, which: int) -> None:
            self.world.learn(entry, self.pick(self.world.processes, which))

        @stateful.rule(duration_ms=strategies.sampled_from([200, 1_000]))
        def pass_time(self, duration_ms: int) -> None:
            self.world.manual_clock.advance(duration_ms)

        @stateful.invariant()
        def check_world(self) -> None:
            self.world.check()

    return KeyMachine


class TableThatDropsAllKeys(keys.ExecutionTable):
    def finish(self, key: keys.ExecutionKey, answer: calls.CallAnswer) -> None:
        super().finish(key, answer)
        self.keys.clear()


class TableThatDropsAnEpochEarly(keys.ExecutionTable):
    def _drop_epochs_before(self, oldest: int) -> None:
        super()._drop_epochs_before(oldest + 1)


class TableThatAcceptsAnyBootId(keys.ExecutionTable):
    def owns(self, key: keys.ExecutionKey) -> bool:
        return key.owner_instance == self.instance


class TableThatDoesNotSeal(keys.ExecutionTable):
    def not_run(
        self, key: keys.ExecutionKey, answer: calls.CallAnswer | None = None
    ) -> None:
        self.keys[key.epoch].pop(key.key_id, None)


class TableThatReplaysThePreviousAnswer(keys.ExecutionTable):
    def finish(self, key: keys.ExecutionKey, answer: calls.CallAnswer) -> None:
        previous, self.last = getattr(self, "last", answer), answer
        super().finish(key, previous)


class UseThatCertifiesEveryMintedKey(key_use.KeyUse):
    def may_certify_not_run(self) -> bool:
        return self.minted_here


def test_a_key_runs_at_most_once_and_not_run_stays_true() -> None:
    machine = make_machine(key_world.KeyWorld)
    stateful.run_state_machine_as_test(machine, settings=MACHINE_SETTINGS)


@pytest.mark.parametrize(
    ("table_class", "use_class", "message"),
    [
        (TableThatDropsAllKeys, key_use.KeyUse, "ran twice"),
        (TableThatDropsAnEpochEarly, key_use.KeyUse, "ran twice"),
        (TableThatAcceptsAnyBootId, key_use.KeyUse, "ran twice|not run did run"),
        (TableThatDoesNotSeal, key_use.KeyUse, "not run did run"),
        (TableThatReplaysThePreviousAnswer, key_use.KeyUse, "not whole or of another"),
        (keys.ExecutionTable, UseThatCertifiesEveryMintedKey, "not run did run"),
    ],
)
def test_the_check_reports_a_broken_mechanism(
    table_class: type[keys.ExecutionTable],
    use_class: type[key_use.KeyUse],
    message: str,
) -> None:
    machine = make_machine(lambda: key_world.KeyWorld(table_class, use_class))
    broken_settings = hypothesis.settings(
        MACHINE_SETTINGS,
        max_examples=1_000,
        print_blob=False,
        phases=[hypothesis.Phase.generate],
    )
    with pytest.raises(key_world.CheckFailedError, match=message):
        stateful.run_state_machine_as_test(machine, settings=broken_settings)
