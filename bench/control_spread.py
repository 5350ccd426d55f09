"""Measures the control exchange: time to spread, bytes, processor time, memory.

Run it with ``python -m bench.control_spread``. It prints Markdown tables. The
spread is simulated time; processor time and memory are those of this machine.
"""

import functools
import random
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any

import msgpack
import result

from bench import control_network
from jujubetiller import clock, control, membership, settings, tickets

WARM_UP_MS = 8_000

MEASURED_MS = 20_000

NODE_COUNTS = (50, 100, 200, 500)

INSTANCE_COUNTS = (500, 1_000, 2_000, 4_000)

OBJECT_COUNT = 1_000

REPETITIONS = 300


def fit_slope(xs: Sequence[float], ys: Sequence[float]) -> tuple[float, float]:
    """Return the slope and the intercept of the least squares line."""
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    pairs = zip(xs, ys, strict=True)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
    return slope, mean_y - slope * mean_x


def make_ticket(number: int, objects: int = 1) -> tickets.Ticket:
    """Return a ticket that touches ``objects`` services."""
    parsed = tickets.parse_ticket(
        {
            "number": number,
            "author": "bench",
            "objects": {
                f"service/service-{at:04}": {"slots": 1 + number % 900}
                for at in range(objects)
            },
        }
    )
    assert isinstance(parsed, result.Ok)
    return parsed.ok_value


def start_network(zones: dict[str, int], **options: Any) -> Any:
    """Return a network that has run for ``WARM_UP_MS``, so that it is stable."""
    network = control_network.SimulatedNetwork(**options)
    network.fill(zones)
    network.run(WARM_UP_MS)
    return network


def is_in_force(network: control_network.SimulatedNetwork, number: int) -> bool:
    """Return whether all nodes hold ticket ``number`` and agree."""
    return network.agree() and all(
        node.state.number == number for node in network.nodes.values()
    )


def measure_spread(
    network: control_network.SimulatedNetwork, numbers: range, objects: int = 1
) -> tuple[float, float]:
    """Return the longest spread time and the mean bytes per node for a ticket."""
    longest_ms, sent = 0.0, 0
    for number in numbers:
        before = network.count_bytes()
        network.publish(make_ticket(number, objects))
        reached = functools.partial(is_in_force, network, number)
        took_ms = network.run(60_000, reached)
        longest_ms = max(longest_ms, took_ms)
        sent += network.count_bytes() - before
        network.run(2_000)
    return longest_ms, sent / len(numbers) / len(network.nodes)


def measure_idle(network: control_network.SimulatedNetwork) -> float:
    """Return the control bytes that a node sends in a second without updates."""
    before = network.count_bytes()
    network.run(MEASURED_MS)
    return (network.count_bytes() - before) / len(network.nodes) / MEASURED_MS * 1e3


def measure_restart(network: control_network.SimulatedNetwork) -> float:
    """Return the bytes per node for one graceful restart, beyond idle traffic."""
    idle = measure_idle(network)
    before, started_ms = network.count_bytes(), network.clock.now_ms()
    names = sorted(network.nodes)[3:43:10]
    for name in names:
        old = network.nodes[name]
        old.exchange.announce_own_state(draining=True, leaving=True)
        network.send_news(old)
        network.run(500)
        before -= sum(old.exchange.sent_bytes.values())
        record = network.make_record(name, old.record.service, old.record.zone)
        node = network.start(record)
        zone = old.record.zone
        listed = network.platform.lists[zone]
        node.exchange.merge_published_list(zone, listed, 1)
        network.run(4_500)
    seconds = (network.clock.now_ms() - started_ms) / 1_000
    sent = (network.count_bytes() - before) / len(network.nodes)
    return (sent - idle * seconds) / len(names)


def print_spread() -> None:
    """Print time and bytes against the number of nodes."""
    print("\n## Spread of one ticket (simulated, 1 ms a hop)\n")
    print("| nodes | zones | news at once, ms | digests alone, s (rounds) |", end="")
    print(
        " loss 20%, ms | 800 objects, ms | idle B/s a node | B a node a ticket |",
        end="",
    )
    print(" B a node a restart |")
    print("| ---: " * 9 + "|")
    fleets = [{"zone-00": count} for count in NODE_COUNTS]
    fleets += [{f"zone-{at:02}": 20 for at in range(count)} for count in (5, 21)]
    idles: list[float] = []
    for zones in fleets:
        network = start_network(zones)
        idles.append(measure_idle(network))
        spread_ms, ticket_bytes = measure_spread(network, range(1, 6))
        large_ms, _ = measure_spread(network, range(6, 8), 800)
        restart_bytes = measure_restart(network)
        lossy = start_network(zones, loss=0.2)
        lossy_ms, _ = measure_spread(lossy, range(1, 6))
        digests_only = start_network(zones)
        digests_only.sends_news = False
        digests_only_ms, _ = measure_spread(digests_only, range(1, 4))
        print(
            f"| {len(network.nodes)} | {len(zones)} | {spread_ms:.0f} "
            f"| {digests_only_ms / 1_000:.1f} | {lossy_ms:.0f} | {large_ms:.0f} "
            f"| {idles[-1]:.0f} | {ticket_bytes:.0f} | {restart_bytes:.0f} |",
            flush=True,
        )
    slope, base = fit_slope(NODE_COUNTS, idles[: len(NODE_COUNTS)])
    print(f"\nIdle bytes a second: {base:.0f} + {slope:.3f} for each node of a zone.")


def make_wire_records(count: int) -> list[Any]:
    """Return packed records of ``count`` instances in 21 zones."""
    return [
        msgpack.packb(
            membership.InstanceRecord(
                f"service-{at % 190:03}-{at:05}",
                f"service-{at % 190:03}",
                f"zone-{at % 21:02}",
                f"127.{at >> 16}.{at >> 8 & 255}.{at & 255}",
                4_000,
                1,
                f"{at:016x}",
                list_version=7,
                listed=True,
            ).as_wire()
        )
        for at in range(count)
    ]


def make_exchange(count: int) -> control.ControlExchange:
    """Return a ready exchange that knows ``count`` instances."""
    manual_clock = clock.ManualClock()
    control_settings = settings.ControlSettings()
    table = membership.MembershipTable(manual_clock, control_settings)
    table.load(msgpack.unpackb(packed) for packed in make_wire_records(count))
    exchange = control.ControlExchange(
        manual_clock,
        random.Random(1),
        control_settings,
        tickets.TicketState(control_settings),
        table,
        table.records["service-007-00007"],
        membership.PlatformFreshness(manual_clock),
    )
    exchange.merge_ticket(make_ticket(1, OBJECT_COUNT))
    exchange.pending_updates.clear()
    exchange.join_state.is_ready = True
    return exchange


def time_call(action: Callable[[int], object]) -> float:
    """Return the processor time of one call in microseconds."""
    action(-1)
    started = time.process_time()
    for at in range(REPETITIONS):
        action(at)
    return (time.process_time() - started) / REPETITIONS * 1e6


def measure_processor(count: int) -> dict[str, float]:
    """Return the processor time of each operation of one exchange, in us."""
    exchange = make_exchange(count)
    digest = control.Digest(
        exchange.ticket_state.digest(), exchange.table.digest(), 5.0, 1
    )
    peer = exchange.neighbours()[0].instance
    held = exchange.table.records[peer]
    manual_clock = exchange.clock
    assert isinstance(manual_clock, clock.ManualClock)

    def tick(at: int) -> None:
        manual_clock.advance(1_000)
        for neighbour in exchange.neighbours():
            exchange.receive(neighbour.instance, digest)
        exchange.tick()

    def push(at: int) -> None:
        wire_record = held.as_wire()
        wire_record[9] = at + 2
        exchange.receive(peer, control.Push([], [wire_record]))
        exchange.flush_updates()

    def push_ticket(at: int) -> None:
        entry = ["service/service-0001", at + 5, "bench", b'{"slots":5}']
        exchange.receive(peer, control.Push([entry], []))
        exchange.flush_updates()

    def pull(at: int) -> None:
        manual_clock.advance(1_000)
        exchange.receive(peer, control.Pull({}, {}))

    return {
        "tick with 6 digests": time_call(tick),
        "digest": time_call(lambda at: exchange.receive(peer, digest)),
        "push of a record": time_call(push),
        "push of a ticket": time_call(push_ticket),
        "pull of everything": time_call(pull),
    }


def print_processor() -> None:
    """Print the processor time of one exchange."""
    print(f"\n## Processor time, microseconds ({OBJECT_COUNT} objects)\n")
    rows = {count: measure_processor(count) for count in INSTANCE_COUNTS}
    names = list(rows[INSTANCE_COUNTS[0]])
    print("| instances | " + " | ".join(names) + " |")
    print("| ---: " * (len(names) + 1) + "|")
    for count, row in rows.items():
        print(f"| {count} | " + " | ".join(f"{row[name]:.0f}" for name in names) + " |")
    for name in names:
        slope, base = fit_slope(INSTANCE_COUNTS, [row[name] for row in rows.values()])
        print(f"\n{name}: {base:.0f} us + {slope * 1_000:.1f} us for 1,000 instances.")


def measure_memory(make: Callable[[], object]) -> int:
    """Return the bytes that the result of ``make`` holds."""
    tracemalloc.start()
    kept = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


def load_table(count: int) -> membership.MembershipTable:
    """Return a table with records from the wire and all cached views built."""
    table = membership.MembershipTable(clock.ManualClock(), settings.ControlSettings())
    table.load(msgpack.unpackb(packed) for packed in make_wire_records(count))
    table.instances()
    for zone in table.by_zone:
        table.instances_in(zone)
    for service in table.by_service:
        table.instances_of(service)
    table.index()
    return table


def load_state(count: int) -> tickets.TicketState:
    """Return a ticket state with ``count`` request kinds from the wire."""
    state = tickets.TicketState(settings.ControlSettings())
    content = (
        b'{"deadline_ms":2000,"idempotent":false,"method":"POST","path_prefix":'
        b'"/p%d","priority_class":0,"service":"service-001"}'
    )
    state.load(
        [f"request_kind/kind-{at}", 1 + at, "bench", content % at]
        for at in range(count)
    )
    state.bucket_index()
    return state


def print_memory() -> None:
    """Print the memory for each known instance and each object."""
    print("\n## Memory, bytes (tracemalloc)\n")
    print("| entries | membership table | ticket state |")
    print("| ---: | ---: | ---: |")
    load_table(10), load_state(10)
    sizes: list[tuple[int, int]] = []
    for count in INSTANCE_COUNTS:
        sizes.append(
            (
                measure_memory(functools.partial(load_table, count)),
                measure_memory(functools.partial(load_state, count)),
            )
        )
        print(f"| {count} | {sizes[-1][0]} | {sizes[-1][1]} |")
    for name, at in (("instance", 0), ("object", 1)):
        slope, base = fit_slope(INSTANCE_COUNTS, [size[at] for size in sizes])
        print(f"\n{slope:.0f} bytes for each {name} + {base / 1_000:.0f} KB.")


def print_join() -> None:
    """Print what a starting node receives from its first neighbour."""
    exchange = make_exchange(INSTANCE_COUNTS[-1])
    replies = exchange.receive("service-028-00028", control.Pull({}, {}))
    size = sum(control.measure_message(reply) for reply in replies)
    index = control.Pull(exchange.ticket_state.bucket_index(), exchange.table.index())
    print("\n## Join\n")
    print(
        f"The whole state of {INSTANCE_COUNTS[-1]} instances and {OBJECT_COUNT} "
        f"objects takes {size} bytes in {len(replies)} messages; a pull with both "
        f"indexes takes {control.measure_message(index)} bytes."
    )


def main() -> None:
    """Run all measurements."""
    print_processor()
    print_memory()
    print_join()
    print_spread()


if __name__ == "__main__":
    main()
