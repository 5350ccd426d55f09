"""Detection of peers that do not respond."""

from jujubetiller import clock, settings

SILENT_INTERVALS = 3

SUSPECT_MS = 30_000.0
"""Time after which a suspect that sent nothing can be chosen as a neighbour again."""


class PeerFailureDetector:
    """Suspects peers that send nothing after digests were sent to them."""

    def __init__(
        self, time_source: clock.Clock, control_settings: settings.ControlSettings
    ) -> None:
        self.clock = time_source
        self.silent_ms = float(control_settings.digest_ms * SILENT_INTERVALS)
        self.max_peers = control_settings.max_instances
        self.received_at_ms: dict[str, float] = {}
        self.waiting_since_ms: dict[str, float] = {}
        self.suspect_since_ms: dict[str, float] = {}
        self.suspected_count = 0
        self.change_count = 0
        """Grows when the set of suspects changes."""

    def note_sent(self, peer: str) -> None:
        """Note a message to ``peer``, which a reachable peer responds to."""
        self.waiting_since_ms.setdefault(peer, self.clock.now_ms())

    def note_received(self, peer: str) -> None:
        """Note a message from ``peer``."""
        if len(self.received_at_ms) < self.max_peers or peer in self.received_at_ms:
            self.received_at_ms[peer] = self.clock.now_ms()
        self.waiting_since_ms.pop(peer, None)
        if self.suspect_since_ms.pop(peer, None) is not None:
            self.change_count += 1

    def update(self) -> None:
        """Add silent peers to the suspects and remove expired entries."""
        now_ms = self.clock.now_ms()
        for peer, since_ms in list(self.waiting_since_ms.items()):
            if now_ms - since_ms >= self.silent_ms:
                del self.waiting_since_ms[peer]
                self.suspected_count += peer not in self.suspect_since_ms
                self.change_count += 1
                self.suspect_since_ms[peer] = now_ms
        for peer, since_ms in list(self.suspect_since_ms.items()):
            if now_ms - since_ms >= SUSPECT_MS:
                del self.suspect_since_ms[peer]
                self.change_count += 1
        for peer, at_ms in list(self.received_at_ms.items()):
            if now_ms - at_ms >= SUSPECT_MS:
                del self.received_at_ms[peer]

    def recently_active_peers(self) -> list[str]:
        """Return the peers that sent a message within the last ``silent_ms``."""
        earliest_ms = self.clock.now_ms() - self.silent_ms
        return [peer for peer, at in self.received_at_ms.items() if at > earliest_ms]
