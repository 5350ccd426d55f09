"""The nodes that read the store are killed while an instance leaves."""

import asyncio
import signal

from review.second import machine, site

DRAIN_S = 2.0
SERVES_ON_S = 2.3
RESTART_S = 0.5
SETTLING_S = 60.0
STEADY_S = 8.0

MOST_KILLED = 6
"""Half of the machines; the sheet's site file kills 0.55 of them at once."""

SERVICES = {"swatch": 3, "booth": 3, "tracker": 3, "ledger": 3}


async def restart(killed: list[machine.Machine]) -> None:
    """Start killed nodes again after a short delay, as the platform does."""
    await asyncio.sleep(RESTART_S)
    for each in killed:
        each.end()
        each.start()


async def find_readers(played: site.Site) -> list[machine.Machine]:
    """Return the nodes that read the store, once that has not changed for a while."""
    readers = list(played.machines.values())
    ends_at = played.now() + SETTLING_S
    steady_from = played.now()
    while played.now() < ends_at:
        await asyncio.sleep(0.5)
        now = [each for each in played.machines.values() if each.is_reader()]
        if now != readers or len(now) > MOST_KILLED:
            readers, steady_from = now, played.now()
        elif played.now() - steady_from >= STEADY_S:
            return readers
    raise site.CaseError("the readers are not steady")


async def play(played: site.Site, has_trouble: bool) -> bool:
    """Play the case."""
    await played.start([site.make_rule("book", "/book/", "booth")])
    readers = await find_readers(played)
    rest = [each for each in played.machines.values() if each not in readers]
    played.note("read the store: " + ", ".join(each.name for each in readers))
    leaving = next(
        (each for each in rest if each.instance.service == "booth"),
        None,
    )
    callers = [each.instance.name for each in rest if each is not leaving]
    if leaving is None or not callers:
        raise site.CaseError("the readers are not chosen as the case needs it")
    for each in played.machines.values():
        each.instance.work_s = 0.3
    traffic = asyncio.create_task(
        played.send_steadily(callers, "b", "/book/", 0.01, played.now() + 8.0)
    )
    await asyncio.sleep(2.0)
    again = None
    if has_trouble:
        for each in readers:
            each.signal(signal.SIGKILL)
        played.note(f"{len(readers)} nodes are killed at the same moment")
        again = asyncio.create_task(restart(readers))
    await asyncio.sleep(0.1)
    name = leaving.instance.name
    acked_at = played.store.remove(f"servers/{name}")
    played.note(f"the entry of {name} is removed; it serves on")
    await asyncio.sleep(SERVES_ON_S)
    leaving.instance.stop()
    played.note(f"{name} has ended")
    late = [at for at, _ in leaving.instance.arrivals if at > acked_at + DRAIN_S]
    played.note(
        f"requests that reached {name} more than {DRAIN_S} s after the ack: "
        f"{len(late)}, the last {max(late, default=acked_at) - acked_at:.2f} s after it"
    )
    await traffic
    if again is not None:
        await again
    succeeded = {sent.request for sent in played.sent if sent.status == 200}
    lost = [
        run
        for run in played.runs
        if run.instance == name and run.at > acked_at and run.request not in succeeded
    ]
    played.note(f"requests that ran there since and were not answered: {len(lost)}")
    return bool(late)


if __name__ == "__main__":
    site.main(__file__, SERVICES, play)
