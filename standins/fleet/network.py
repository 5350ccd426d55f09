"""An in-memory network of simulated processes, with faults and one clock."""

from collections.abc import Callable
from typing import Any

from twisted.internet import address, error

from standins.fleet import _connector, _end, _port, _process

STEP_MS = 10.0

FIRST_MAPPED_NUMBER = 100_000
"""Above all numbers of ports; a port of another host gets one from here on."""


def _observe_nothing() -> None:
    """Do nothing: the default observer."""


class Network:
    """Runs all simulated processes, their connections and the injected faults."""

    def __init__(self) -> None:
        self.processes: dict[str, _process.Process] = {}
        self.ports: dict[int, _port.Port] = {}
        self.connecting: list[_connector.Connector] = []
        self.ends: list[_end.End] = []
        self.cuts: set[tuple[str, str]] = set()
        self.delays_ms: dict[tuple[str, str], float] = {}
        self.now_ms = 0.0
        self.next_port = 2_000
        self.numbers_by_address: dict[tuple[str, int], int] = {}
        self.observer: Callable[[], None] = _observe_nothing

    def start(self, name: str, zone: str) -> _process.Process:
        """Return a new process; an earlier one of the same name must be dead."""
        process = _process.Process(self, name, zone)
        process.rightNow = self.now_ms / 1000.0
        self.processes[name] = process
        return process

    def kill(self, process: _process.Process) -> None:
        """Kill a process; bytes already written are still sent before the close."""
        process.is_dead = True
        process.is_frozen = False
        process.calls.clear()
        for port in [one for one in self.ports.values() if one.process is process]:
            port.stopListening()
        for end in self.ends:
            if end.process is process and not end.is_closed:
                end.close(error.ConnectionLost)
                end.is_lost = True

    def thaw(self, process: _process.Process) -> None:
        """Resume a frozen process and run its overdue timers."""
        if process.is_frozen:
            process.is_frozen = False
            clock_lag_s, process.clock_lag_s = process.clock_lag_s, 0.0
            process.advance(clock_lag_s)

    def cut(self, from_zone: str, to_zone: str) -> None:
        """Block packets from one zone to another until ``cuts`` is cleared."""
        self.cuts.add((from_zone, to_zone))

    def is_cut(self, sender: _process.Process, receiver: _process.Process) -> bool:
        """Return whether packets from ``sender`` to ``receiver`` are blocked."""
        return (sender.zone, receiver.zone) in self.cuts

    def vanish(self, process: _process.Process) -> None:
        """Kill a process with its VM: no peer sees a close, packets to it are lost."""
        for end in self.ends:
            if process in (end.process, end.peer.process):
                end.is_silent = True
        self.kill(process)

    def silence(self, opener: str, other: str) -> None:
        """Drop all further packets on the connections from ``opener`` to ``other``."""
        for end in self.ends:
            names = (end.process.name, end.peer.process.name)
            if end.is_opener and names == (opener, other):
                end.is_silent = end.peer.is_silent = True

    def listen(
        self, process: _process.Process, number: int, factory: Any, host: str = ""
    ) -> _port.Port:
        """Open a listening port; ``number`` 0 allocates the next free one."""
        if not number:
            self.next_port += 1
            number = self.next_port
        shown = address.IPv4Address("TCP", host or _port.HOST, number)
        number = self.find_number(host, number)
        port = self.ports[number] = _port.Port(process, number, factory, shown)
        return port

    def find_number(self, host: str, number: int) -> int:
        """Return the number that port ``number`` of ``host`` has in the network.

        Hosts but the usual one have ports of their own, so that several processes can
        listen on the same number.
        """
        if host in ("", _port.HOST):
            return number
        numbers = self.numbers_by_address
        return numbers.setdefault((host, number), FIRST_MAPPED_NUMBER + len(numbers))

    def connect(self, connector: _connector.Connector) -> bool:
        """Make or refuse a connection; return False while a cut blocks it."""
        port = self.ports.get(connector.port)
        if port is None:
            connector.fail(error.ConnectionRefusedError())
            return True
        if self.is_cut(connector.process, port.process) or self.is_cut(
            port.process, connector.process
        ):
            return False
        connector.finish()
        near = _end.End(connector.process, connector.factory, connector.port)
        far = _end.End(port.process, port.factory, connector.port)
        near.peer, far.peer = far, near
        near.is_opener = True
        connector.end = near
        self.ends += (near, far)
        near.open()
        return True

    def settle(self, reached: Callable[[], bool]) -> bool:
        """Process all events due now; stop and return True once ``reached`` holds."""
        moved = True
        while moved:
            moved = False
            for connector in list(self.connecting):
                if connector.is_over or connector.process.is_dead:
                    self.connecting.remove(connector)
                elif not connector.process.is_frozen and self.connect(connector):
                    moved = True
                    if self.notify_observer(reached):
                        return True
            for end in list(self.ends):
                if end.deliver():
                    moved = True
                    if self.notify_observer(reached):
                        return True
            for process in list(self.processes.values()):
                if self.is_due(process):
                    process.advance(0)
                    moved = True
                    if self.notify_observer(reached):
                        return True
        self.ends = [one for one in self.ends if not (one.is_lost and one.peer.is_lost)]
        return False

    def notify_observer(self, reached: Callable[[], bool]) -> bool:
        """Notify the observer of a change; return whether ``reached`` holds."""
        self.observer()
        return reached()

    def is_due(self, process: _process.Process) -> bool:
        """Return whether a process has a timer to run now."""
        if process.is_frozen or process.is_dead or not process.calls:
            return False
        return bool(process.calls[0].getTime() <= process.seconds())

    def run_until(self, reached: Callable[[], bool], limit_ms: float) -> bool:
        """Run until ``reached`` holds; return whether it did within the limit."""
        if self.settle(reached) or reached():
            return True
        for _ in range(round(limit_ms / STEP_MS)):
            self.now_ms += STEP_MS
            for process in list(self.processes.values()):
                if process.is_frozen:
                    process.clock_lag_s += STEP_MS / 1000
                elif not process.is_dead:
                    process.pass_time(STEP_MS / 1000)
            if self.settle(reached) or reached():
                return True
        return False

    def run_for(self, duration_ms: float) -> None:
        """Run for ``duration_ms`` of simulated time."""
        self.run_until(lambda: False, duration_ms)
