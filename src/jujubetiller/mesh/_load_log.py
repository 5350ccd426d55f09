"""A log line about the load of the instance beside the node."""

import logbook

from jujubetiller.mesh import _mesh_parts

_LOG = logbook.Logger("jujubetiller.mesh.load")

PAUSE_MS = 1_000.0


class LoadLog:
    """Tells once a second what the guard of the target does, while calls wait.

    A request's line tells the delay that it met; this one tells whether the target
    was slow, had too few slots or was refused more than it could take.
    """

    def __init__(self, parts: _mesh_parts.MeshParts) -> None:
        self.parts = parts
        self.written_at_ms = parts.clock.now_ms()
        self.refused = 0

    def look(self) -> None:
        """Write the line if it is time and there is something to tell."""
        now_ms = self.parts.clock.now_ms()
        if now_ms - self.written_at_ms < PAUSE_MS:
            return
        self.written_at_ms = now_ms
        guard = self.parts.guard
        refused = sum(guard.refusals.values())
        refused_before, self.refused = self.refused, refused
        if not guard.queue_length and refused == refused_before:
            return
        _LOG.info(
            "calls wait for the target",
            extra={
                "limit": guard.limit,
                "in_flight": guard.in_flight,
                "queue_length": guard.queue_length,
                "run_ms": round(guard.mean_run_ms, 1),
                "refused": refused - refused_before,
            },
        )
