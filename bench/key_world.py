"""A model of entry nodes, key owners and an unreliable network between them.

Owners are real ``ExecutionTable`` objects and entry nodes follow ``KeyUse``. The
network may duplicate, delay, lose and reorder messages, and owners are paused,
resumed and replaced. The model records what each target ran and which outcomes were
reported to callers.
"""

import collections
import itertools
import random

import attrs

from bench import key_use
from jujubetiller import calls, clock, codes, keys, settings

INSTANCES = ("ledger-1", "ledger-2")
ENTRIES = ("entry-1", "entry-2")
SERVICE = "ledger"
OTHER_SERVICE = "booth"
KIND = "deposit"

KEY_SETTINGS = settings.KeySettings(
    epoch_ms=1_000,
    epochs_kept=1,
    keys_per_epoch=10,
    answer_bytes=1_500,
    attached_per_key=2,
)


class CheckFailedError(AssertionError):
    """The model found a violated guarantee."""


@attrs.define(eq=False)
class Attempt:
    """One use of a key by an entry node, up to the outcome reported to its caller."""

    request: int
    key: keys.ExecutionKey
    use: key_use.KeyUse
    outcome: codes.Outcome | None = None


@attrs.define(eq=False)
class Process:
    """One process of an owner instance, with its target."""

    instance: str
    boot_id: str
    table: keys.ExecutionTable
    paused: bool = False
    inbox: list["Message"] = attrs.field(factory=list)
    queued: list[Attempt] = attrs.field(factory=list)
    running: list[Attempt] = attrs.field(factory=list)


@attrs.define(eq=False)
class Message:
    """A message in transit: to an owner, or with an answer to an entry node."""

    attempt: Attempt
    process: Process | None = None
    seals: bool = False
    answer: calls.CallAnswer | None = None
    sealed: bool | None = None


class KeyWorld:
    """The state of the model; every public method is a step possible at any time."""

    def __init__(
        self,
        table_class: type[keys.ExecutionTable] = keys.ExecutionTable,
        use_class: type[key_use.KeyUse] = key_use.KeyUse,
    ) -> None:
        self.table_class = table_class
        self.use_class = use_class
        self.manual_clock = clock.ManualClock()
        self.random_source = random.Random(1)
        self.signer = keys.KeySigner(["key-world-signing-key"])
        self.boot_numbers = itertools.count(1)
        self.request_numbers = itertools.count(1)
        self.processes: list[Process] = []
        self.messages: list[Message] = []
        self.attempts: list[Attempt] = []
        self.runs: collections.Counter[bytes] = collections.Counter()
        self.runs_by_request: collections.Counter[int] = collections.Counter()
        self.bodies: dict[bytes, bytes] = {}
        self.reported_not_run: set[bytes] = set()
        self.known_processes: dict[tuple[str, str], tuple[str, int]] = {}
        for instance in INSTANCES:
            process = self.start(instance)
            for entry in ENTRIES:
                self.learn(entry, process)

    def start(self, instance: str) -> Process:
        """Start a process; earlier ones of the instance may still be running."""
        boot_id = f"boot-{next(self.boot_numbers)}"
        table = self.table_class(
            self.manual_clock, KEY_SETTINGS, instance, SERVICE, boot_id
        )
        process = Process(instance, boot_id, table)
        self.processes.append(process)
        return process

    def learn(self, entry: str, process: Process) -> None:
        """Set the process, current or not, that an entry node knows for an instance."""
        epoch = process.table.epochs.current()
        self.known_processes[entry, process.instance] = (process.boot_id, epoch)

    def mint(self, entry: str, instance: str, service: str = SERVICE) -> Attempt:
        """Accept a request without a key; the entry node mints one."""
        return self._mint(entry, instance, service, next(self.request_numbers))

    def mint_again(self, attempt: Attempt, entry: str, instance: str) -> None:
        """Send a request under a new key if the latest one certainly did not run."""
        if attempt.use.minted_here and attempt.outcome is codes.Outcome.NOT_RUN:
            newest = max(
                (a for a in self.attempts if a.request == attempt.request),
                key=self.attempts.index,
            )
            if newest is attempt:
                self._mint(entry, instance, SERVICE, attempt.request)

    def repeat(self, attempt: Attempt) -> Attempt | None:
        """Let the client send the request again with its key, through any entry node.

        The client knows the key only if the entry node disclosed it.
        """
        disclosed = attempt.use.sent or not attempt.use.minted_here
        if not disclosed:
            return None
        return self._enter(attempt.request, attempt.key, self.use_class(False))

    def send(self, attempt: Attempt, process: Process) -> None:
        """Send the call to a process, which need not be the one that the key names."""
        if attempt.outcome is None and not attempt.use.sent:
            attempt.use.sent = True
            self.messages.append(Message(attempt, process))

    def refuse(self, attempt: Attempt, process: Process) -> None:
        """Refuse a request at the entry node or stop waiting for it.

        The owner must seal the key first if another copy of it may exist.
        """
        if attempt.outcome is not None:
            return
        if attempt.use.may_certify_not_run():
            self._finish_attempt(attempt, codes.Outcome.NOT_RUN)
        else:
            self.messages.append(Message(attempt, process, seals=True))

    def time_out(self, attempt: Attempt) -> None:
        """End a request as unknown when its owner has not confirmed an outcome."""
        if attempt.outcome is None and not attempt.use.may_certify_not_run():
            self._finish_attempt(attempt, codes.Outcome.UNKNOWN)

    def deliver(self, message: Message, keep_copy: bool) -> None:
        """Deliver a message; ``keep_copy`` leaves a duplicate in the network."""
        if not keep_copy:
            self.messages.remove(message)
        process = message.process
        if process is None:
            self._handle_reply(message)
        elif process.paused:
            process.inbox.append(message)
        else:
            self._handle(process, message)

    def wake(self, process: Process) -> None:
        """Resume a paused process, which handles the messages in its inbox."""
        process.paused = False
        inbox, process.inbox = process.inbox, []
        for message in inbox:
            self._handle(process, message)

    def refuse_queued(self, process: Process) -> None:
        """Let the owner's limits refuse a call before it reaches the target."""
        attempt = process.queued.pop(0)
        process.table.not_run(attempt.key)
        self._reply(attempt, calls.make_refusal(codes.ResultCode.QUEUE_FULL))

    def run_queued(self, process: Process) -> None:
        """Hand a call to the target."""
        attempt = process.queued.pop(0)
        process.running.append(attempt)
        self.runs[attempt.key.key_id] += 1
        self.runs_by_request[attempt.request] += 1

    def finish_running(self, process: Process, whole: bool) -> None:
        """Let the target answer, or close early unless ``whole``."""
        attempt = process.running.pop(0)
        key_id = attempt.key.key_id
        answer = calls.make_refusal(codes.ResultCode.TARGET_CLOSED_EARLY)
        if whole:
            body = key_id + bytes(self.runs[key_id])
            self.bodies[key_id] = body
            answer = calls.CallAnswer(
                codes.Outcome.ANSWERED, codes.ResultCode.ANSWERED, 200, body=body
            )
        process.table.finish(attempt.key, answer)
        self._reply(attempt, answer)

    def check(self) -> None:
        """Raise if a guarantee has been violated so far."""
        if max(self.runs.values(), default=0) > 1:
            raise CheckFailedError("a key ran twice")
        if max(self.runs_by_request.values(), default=0) > 1:
            raise CheckFailedError("a request ran twice")
        if any(self.runs[key_id] for key_id in self.reported_not_run):
            raise CheckFailedError("a key that was reported as not run did run")

    def _mint(self, entry: str, instance: str, service: str, request: int) -> Attempt:
        boot_id, epoch = self.known_processes[entry, instance]
        text, _ = self.signer.mint(
            self.random_source, service, KIND, instance, boot_id, epoch
        )
        key = self.signer.verify(text).unwrap()
        return self._enter(request, key, self.use_class(True))

    def _enter(
        self, request: int, key: keys.ExecutionKey, use: key_use.KeyUse
    ) -> Attempt:
        attempt = Attempt(request, key, use)
        self.attempts.append(attempt)
        return attempt

    def _handle(self, process: Process, message: Message) -> None:
        attempt = message.attempt
        if message.seals:
            sealed = process.table.seal(attempt.key)
            self.messages.append(Message(attempt, sealed=sealed))
            return
        begin = process.table.begin(
            attempt.key, lambda answer: self._reply(attempt, answer)
        )
        if begin.state is keys.BeginState.RUN_NOW:
            process.queued.append(attempt)
        elif begin.answer is not None:
            self._reply(attempt, begin.answer)
        elif begin.state is not keys.BeginState.ATTACH:
            code = keys.REFUSAL_CODES[begin.state]
            self._reply(attempt, calls.make_refusal(code))

    def _reply(self, attempt: Attempt, answer: calls.CallAnswer) -> None:
        self.messages.append(Message(attempt, answer=answer))

    def _handle_reply(self, message: Message) -> None:
        attempt = message.attempt
        if attempt.outcome is not None:
            return
        if message.answer is None:
            sealed = codes.Outcome.NOT_RUN if message.sealed else codes.Outcome.UNKNOWN
            self._finish_attempt(attempt, sealed)
            return
        answered = message.answer.outcome is codes.Outcome.ANSWERED
        if answered and message.answer.body != self.bodies.get(attempt.key.key_id):
            raise CheckFailedError("an answer is not whole or of another key")
        self._finish_attempt(attempt, message.answer.outcome)

    def _finish_attempt(self, attempt: Attempt, outcome: codes.Outcome) -> None:
        attempt.outcome = outcome
        if outcome is codes.Outcome.NOT_RUN:
            self.reported_not_run.add(attempt.key.key_id)
