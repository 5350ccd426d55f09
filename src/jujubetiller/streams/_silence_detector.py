"""Detection of streams on which the peer sends nothing."""

import enum

from jujubetiller import settings

IDLE_PING_FACTOR = 8
"""Heartbeat intervals between two PINGs of an idle stream. With 4, 196 idle streams
each way used 2.9% of a core."""


class Silence(enum.Enum):
    """The action that a tick of the detector requires."""

    NONE = "none"
    PING_DUE = "ping due"
    DEAD = "dead"


class SilenceDetector:
    """Decides when to send a PING and when a stream is suspect or dead.

    A PING is due after ``ping_after_ms`` without a received byte when work is
    outstanding, and after ``idle_ping_after_ms`` otherwise. A stream is suspect
    once a PING went unanswered for ``suspect_after_ms``, and dead after
    ``dead_after_ms``.

    The silence is the sum of the times between ticks, each counted with at most
    ``max_step_ms``: after a pause of its own, a process must first read the data
    received meanwhile before it declares its peers dead.
    """

    __slots__ = (
        "dead_after_ms",
        "idle_ping_after_ms",
        "last_tick_ms",
        "max_step_ms",
        "ping_after_ms",
        "pinged_at_ms",
        "silence_ms",
        "suspect_after_ms",
    )

    def __init__(
        self,
        now_ms: float,
        *,
        ping_after_ms: float,
        idle_ping_after_ms: float,
        suspect_after_ms: float,
        dead_after_ms: float,
        max_step_ms: float,
    ) -> None:
        self.ping_after_ms = ping_after_ms
        self.idle_ping_after_ms = idle_ping_after_ms
        self.suspect_after_ms = suspect_after_ms
        self.dead_after_ms = dead_after_ms
        self.max_step_ms = max_step_ms
        self.last_tick_ms = now_ms
        self.silence_ms = 0.0
        self.pinged_at_ms = -1.0
        """Value of ``silence_ms`` when the PING was sent; -1 without one."""

    def note_received(self) -> None:
        """Reset the silence, because data was received."""
        self.silence_ms = 0.0
        self.pinged_at_ms = -1.0

    def tick(self, now_ms: float, has_work: bool) -> Silence:
        """Add the time since the last tick and return the action that is due.

        ``PING_DUE`` is returned once per silence; the caller sends the PING.
        """
        self.silence_ms += min(now_ms - self.last_tick_ms, self.max_step_ms)
        self.last_tick_ms = now_ms
        if self.pinged_at_ms >= 0:
            if self.silence_ms - self.pinged_at_ms >= self.dead_after_ms:
                return Silence.DEAD
            return Silence.NONE
        if self.silence_ms >= (
            self.ping_after_ms if has_work else self.idle_ping_after_ms
        ):
            self.pinged_at_ms = self.silence_ms
            return Silence.PING_DUE
        return Silence.NONE

    def is_pinged(self) -> bool:
        """Return whether a PING was sent that nothing was received after."""
        return self.pinged_at_ms >= 0

    def is_suspect(self) -> bool:
        """Return whether a PING went unanswered for too long."""
        return (
            self.pinged_at_ms >= 0
            and self.silence_ms - self.pinged_at_ms >= self.suspect_after_ms
        )


def make_silence_detector(
    now_ms: float, stream_settings: settings.StreamSettings
) -> SilenceDetector:
    """Return the detector of a stream that is opened at ``now_ms``."""
    heartbeat_ms = stream_settings.heartbeat_ms
    return SilenceDetector(
        now_ms,
        ping_after_ms=heartbeat_ms,
        idle_ping_after_ms=heartbeat_ms * IDLE_PING_FACTOR,
        suspect_after_ms=heartbeat_ms,
        dead_after_ms=max(heartbeat_ms, stream_settings.silent_after_ms - heartbeat_ms),
        max_step_ms=heartbeat_ms,
    )
