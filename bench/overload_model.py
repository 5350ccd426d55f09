"""A small discrete-event model of a call chain, for comparing policies.

The guards, pressure tables and entry admissions are the product's own objects, driven
by a manual clock. Only targets, network and clients are modelled.
"""

import collections
import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from jujubetiller import calls, clock, codes, limits, pressure, settings

HOP_MS = 1.0
CLIENT_MS = 8.0
EXPIRE_EVERY_MS = 5.0
RETRY_TOKENS = 2
RETRIES_PER_PLAIN_LAYER = 2
# A target that runs more calls than this share of its slots gains no throughput,
# because the calls share the same processors.
KNEE_SHARE = 0.6
THRASHING_EXPONENT = 1.2

Reply = Callable[[bool, codes.ResultCode, int | None, str], None]


@attrs.frozen
class Kind:
    """A request kind and the chain of services that it passes."""

    name: str
    priority_class: int
    share: float
    chain: tuple[str, ...]
    deadline_ms: float


@attrs.frozen
class ServiceSize:
    """The size of a service and the mean work of one call."""

    instances: int
    slots: int
    connections: int
    work_ms: float


@attrs.frozen
class Site:
    """One of the two sites; its load is scaled to the capacity of ``deepest``."""

    name: str
    services: dict[str, ServiceSize]
    deepest: str
    kinds: tuple[Kind, ...]


@attrs.frozen
class Variant:
    """Which mechanisms are on; ``policy`` is "plain" for the baseline without any."""

    policy: str
    order: str = "priority"
    admission: bool = True

    slots_factor: float = 1.0
    """Configured slots over real ones; above 1, the limit has to find the real ones."""

    @property
    def name(self) -> str:
        """Return a short name for tables."""
        if self.policy == "plain":
            return "plain"
        entry = "entry on" if self.admission else "entry off"
        suffix = "" if self.slots_factor == 1.0 else f", slots x{self.slots_factor:g}"
        return f"{self.policy}, {self.order}, {entry}{suffix}"


class EventLoop:
    """Runs scheduled functions in order of time on a manual clock."""

    def __init__(self, seed: int) -> None:
        self.clock = clock.ManualClock()
        self.random = random.Random(seed)
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()

    def after(self, delay_ms: float, function: Callable[[], None]) -> None:
        """Call ``function`` in ``delay_ms``."""
        at_ms = self.clock.reading_ms + delay_ms
        heapq.heappush(self.heap, (at_ms, next(self.sequence), function))

    def run_until(self, end_ms: float) -> None:
        """Run all events up to ``end_ms``."""
        while self.heap and self.heap[0][0] <= end_ms:
            at_ms, _, function = heapq.heappop(self.heap)
            self.clock.reading_ms = at_ms
            function()


class Target:
    """A back end whose calls slow each other down above ``KNEE_SHARE`` of its slots."""

    def __init__(self, loop: EventLoop, size: ServiceSize) -> None:
        self.loop = loop
        self.size = size
        self.slowdown = 1.0
        self.working = 0
        self.calls_worked = 0
        self.held = 0
        self.backlog: collections.deque[Callable[[], None]] = collections.deque()

    def work(self, then: Callable[[], None]) -> None:
        """Do the local work of one call."""
        self.working += 1
        self.calls_worked += 1
        contention = max(1.0, self.working / (KNEE_SHARE * self.size.slots))
        mean_ms = self.size.work_ms * self.slowdown * contention**THRASHING_EXPONENT

        def end() -> None:
            self.working -= 1
            then()

        self.loop.after(mean_ms * self.loop.random.uniform(0.5, 1.5), end)

    def accept(self, run: Callable[[], None]) -> bool:
        """Acquire a slot or join the target's backlog; return False if full."""
        if self.held < self.size.slots:
            self.held += 1
            run()
            return True
        if len(self.backlog) < self.size.connections - self.size.slots:
            self.backlog.append(run)
            return True
        return False

    def release(self) -> None:
        """Release a slot to the next call in the backlog, if any."""
        if self.backlog:
            self.backlog.popleft()()
        else:
            self.held -= 1


class Node:
    """An instance: its target and guard, and its pressure table as an entry node."""

    def __init__(
        self, loop: EventLoop, service: str, size: ServiceSize, variant: Variant
    ) -> None:
        self.service = service
        self.target = Target(loop, size)
        self.outstanding: collections.Counter[Node] = collections.Counter()
        policy = "fixed" if variant.policy == "plain" else variant.policy
        self.guard = limits.build_guard(
            loop.clock,
            settings.LimitSettings(
                policy=policy,
                queue_order=variant.order,
                slots=int(size.slots * variant.slots_factor),
            ),
        )
        self.pressure_table = pressure.PressureTable(loop.clock, loop.random)
        self.admission = pressure.EntryAdmission(self.pressure_table, loop.random)


@attrs.define(eq=False)
class Step:
    """A call of a tree that waits or runs at a node."""

    node: Node
    entry: limits.GuardEntry
    worked_at_ms: float | None = None
    """End of the local work, when a nested call begins."""

    def record_nested_time(self, now_ms: float) -> None:
        """Record for the guard how long the call waited for its nested call."""
        if self.worked_at_ms is not None:
            self.entry.nested_ms = now_ms - self.worked_at_ms


@attrs.define(eq=False)
class Tree:
    """The call tree of one attempt of a client's request."""

    kind: Kind
    rank: int
    deadline: calls.Deadline
    done: Callable[[bool], None]
    tokens: int = RETRY_TOKENS
    ended: bool = False
    path: list[Step] = attrs.field(factory=list)

    def end(self, succeeded: bool) -> None:
        """Report the end to the client, only once."""
        if not self.ended:
            self.ended = True
            self.done(succeeded)


class Fleet:
    """All instances of a site; calls pass either with guards or without limits."""

    def __init__(self, site: Site, variant: Variant, loop: EventLoop) -> None:
        self.site = site
        self.variant = variant
        self.loop = loop
        self.nodes = {
            name: [Node(loop, name, size, variant) for _ in range(size.instances)]
            for name, size in site.services.items()
        }
        self.all_nodes = [node for nodes in self.nodes.values() for node in nodes]
        self.tree_numbers = itertools.count()
        if variant.policy != "plain":
            loop.after(EXPIRE_EVERY_MS, self._expire)

    def set_slowdown(self, factor: float) -> None:
        """Make the calls of the deepest service take ``factor`` times longer."""
        for node in self.nodes[self.site.deepest]:
            node.target.slowdown = factor

    def attempt(
        self, kind: Kind, request_id: str, done: Callable[[bool], None]
    ) -> None:
        """Run one attempt of a client's request."""
        entry = self.loop.random.choice(self.nodes[kind.chain[0]])
        tree = Tree(
            kind,
            limits.compute_rank(kind.priority_class, request_id),
            calls.Deadline.after(self.loop.clock, kind.deadline_ms),
            lambda succeeded: self.loop.after(CLIENT_MS, lambda: done(succeeded)),
        )
        begin = self._plain_entry if self.variant.policy == "plain" else self._entry
        self.loop.after(CLIENT_MS, lambda: begin(tree, entry))

    def _expire(self) -> None:
        for node in self.all_nodes:
            node.guard.expire()
        self.loop.after(EXPIRE_EVERY_MS, self._expire)

    # Calls with guards.

    def _entry(self, tree: Tree, entry: Node) -> None:
        kind = tree.kind
        service = kind.chain[0]
        if self.variant.admission and entry.admission.decide(
            service, kind.name, tree.rank
        ):
            tree.end(False)
            return
        left_ms = tree.deadline.left_ms(self.loop.clock)
        self.loop.after(left_ms, lambda: self._cancel(tree))

        def answered(
            succeeded: bool, code: codes.ResultCode, level: int | None, source: str
        ) -> None:
            entry.pressure_table.observe(service, kind.name, level, source)
            tree.end(succeeded)

        self._send(tree, 0, entry, answered)

    def _cancel(self, tree: Tree) -> None:
        if tree.ended:
            return
        tree.end(False)
        for step in tree.path:
            step.record_nested_time(self.loop.clock.reading_ms)
            if not step.node.guard.cancel(step.entry):
                # Only the deepest target was working; the others waited for it.
                succeeded = step is not tree.path[-1]
                step.node.guard.finished(step.entry, succeeded)

    def _send(self, tree: Tree, level: int, caller: Node, reply: Reply) -> None:
        choices = self.nodes[tree.kind.chain[level]]
        first, second = self.loop.random.sample(choices, 2)
        outstanding = caller.outstanding
        node = first if outstanding[first] <= outstanding[second] else second
        outstanding[node] += 1

        def answered(
            succeeded: bool, code: codes.ResultCode, below: int | None, source: str
        ) -> None:
            outstanding[node] -= 1
            retry = not succeeded and codes.describe(code).retryable and tree.tokens
            if retry and not tree.ended:
                tree.tokens -= 1
                self._send(tree, level, caller, reply)
            else:
                reply(succeeded, code, below, source)

        def send_back(
            succeeded: bool, code: codes.ResultCode, below: int | None, source: str
        ) -> None:
            self.loop.after(HOP_MS, lambda: answered(succeeded, code, below, source))

        self.loop.after(HOP_MS, lambda: self._arrive(tree, level, node, send_back))

    def _arrive(self, tree: Tree, level: int, node: Node, reply: Reply) -> None:
        if tree.ended:
            reply(False, codes.ResultCode.DEADLINE_SPENT, None, node.service)
            return

        def refuse(code: codes.ResultCode) -> None:
            tree.path.pop()
            reply(False, code, node.guard.pressure_level(), node.service)

        def end(
            succeeded: bool, code: codes.ResultCode, below: int | None, source: str
        ) -> None:
            if not tree.ended:
                tree.path.pop()
                step.record_nested_time(self.loop.clock.reading_ms)
                node.guard.finished(entry, True)
            own = node.guard.pressure_level()
            if own is not None and (below is None or own < below):
                source = node.service
            reply(succeeded, code, pressure.combine(own, below), source)

        def worked() -> None:
            if tree.ended or level + 1 == len(tree.kind.chain):
                end(not tree.ended, codes.ResultCode.ANSWERED, None, "")
            else:
                step.worked_at_ms = self.loop.clock.reading_ms
                self._send(tree, level + 1, node, end)

        entry = limits.GuardEntry(
            rank=tree.rank,
            depth=level,
            deadline=tree.deadline,
            start=lambda: node.target.work(worked),
            refuse=refuse,
            kind=tree.kind.name,
        )
        step = Step(node, entry)
        tree.path.append(step)
        node.guard.submit(entry)

    # Calls without limits: every layer waits for the full deadline and retries, and
    # targets continue calls whose callers have timed out.

    def _plain_entry(self, tree: Tree, entry: Node) -> None:
        self._plain_send(tree, 0, RETRIES_PER_PLAIN_LAYER, tree.end)

    def _plain_send(
        self, tree: Tree, level: int, retries: int, reply: Callable[[bool], None]
    ) -> None:
        node = self.loop.random.choice(self.nodes[tree.kind.chain[level]])
        is_open = [True]

        def answered(succeeded: bool) -> None:
            if not is_open:
                return
            is_open.clear()
            if succeeded or not retries:
                reply(succeeded)
            else:
                self._plain_send(tree, level, retries - 1, reply)

        def send_back(succeeded: bool) -> None:
            self.loop.after(HOP_MS, lambda: answered(succeeded))

        def arrive() -> None:
            if not node.target.accept(lambda: node.target.work(worked)):
                send_back(False)

        def worked() -> None:
            if level + 1 == len(tree.kind.chain):
                end(True)
            else:
                self._plain_send(tree, level + 1, RETRIES_PER_PLAIN_LAYER, end)

        def end(succeeded: bool) -> None:
            node.target.release()
            send_back(succeeded)

        self.loop.after(HOP_MS, arrive)
        self.loop.after(tree.kind.deadline_ms, lambda: answered(False))
