"""What a node knows of the load of an instance from the instance's own reports."""

import math

import attrs

REPORT_DECAY_MS = 300.0
"""Time constant with which a report loses its weight against the average of its zone.
Other callers, whose calls it does not contain, fill or free instances in that time."""

MAX_REPORT_AGE_MS = 900.0
"""Age beyond which a report has less than 5% of its weight and is not consulted."""

SPEED_DECAY_MS = 60_000.0
"""Time constant with which a learned speed returns to the average without calls."""

RECENT_SPEED_DECAY_MS = 300.0
"""Time constant of the speed at present, for slow-downs of less than a second."""

OVERDUE_DECAY_MS = 5_000.0
"""Time constant with which overdue attempts lose their effect, as failures do."""

_OVERDUE_SHARE = 0.25
_MOST_OVERDUE = 4
"""Each overdue attempt since the last report leaves a quarter of the weight. A single
one may be a call with much more work than usual, and the next report clears it."""

_LASTING_WEIGHT = 0.05
_RECENT_WEIGHT = 0.3
_ROOM_WEIGHT = 0.1
"""Weights of a new sample in the moving averages."""

MAX_RATIO = 4.0
"""Bound on the effect of one call, as a few take many times as long as usual."""

MIN_RATIO = 0.25


@attrs.define
class LoadReport:
    """The last report of one instance, its age, and the learned speed."""

    room: int = 0
    """Calls that the target could take beyond those it had; negative if calls
    waited."""

    wait_ms: float = 0.0
    at_ms: float = -math.inf
    """When the report arrived; minus infinity before the first."""

    sent_since: int = 0
    """Calls that this node sent to the instance since then."""

    silent_since_ms: float = math.inf
    """When the first of these calls was sent; infinite if there is none."""

    overdue: int = 0
    """Attempts given up as overdue since the last report."""

    overdue_at_ms: float = 0.0

    is_new: bool = False
    """Whether the report belongs to the answer that is being recorded."""

    is_refusal: bool = False
    """Whether the last report came with a refusal for lack of room."""

    highest_room: int = 1
    mean_room_share: float = 0.0
    """Moving average over reports of the room as a share of the slots, -1 to 1."""

    run_ratio: float = 1.0
    """Run time without the wait relative to the average of the kinds, lasting value."""

    recent_ratio: float = 1.0
    ratio_at_ms: float = 0.0

    def record_report(
        self, room: int, wait_ms: float, slots: int, now_ms: float
    ) -> None:
        """Replace the report; ``slots`` is 0 if they are not known."""
        is_first = self.at_ms == -math.inf
        self.room = room
        self.wait_ms = wait_ms
        self.at_ms = now_ms
        self.sent_since = self.overdue = 0
        self.silent_since_ms = math.inf
        self.is_new = True
        if room > self.highest_room:
            self.highest_room = room
        share = room / (slots or self.highest_room)
        share = max(-1.0, min(1.0, share))
        weight = 1.0 if is_first else _ROOM_WEIGHT
        self.mean_room_share += weight * (share - self.mean_room_share)

    def record_sent(self, now_ms: float) -> None:
        """Count a call that was sent to the instance."""
        if not self.sent_since:
            self.silent_since_ms = now_ms
        self.sent_since += 1

    def record_overdue(self, now_ms: float) -> None:
        """Count an attempt that was given up without an answer."""
        self.overdue += 1
        self.overdue_at_ms = now_ms

    def overdue_weight(self, now_ms: float) -> float:
        """Return the factor of the weight for overdue attempts, 1 without any."""
        if not self.overdue:
            return 1.0
        fade = math.exp((self.overdue_at_ms - now_ms) / OVERDUE_DECAY_MS)
        exponent = min(self.overdue, _MOST_OVERDUE) * fade
        return float(_OVERDUE_SHARE**exponent)

    def record_ratio(self, ratio: float, now_ms: float) -> None:
        """Add the run time of a call relative to the average of its kind."""
        ratio = min(ratio, MAX_RATIO)
        recent = self.read_recent_ratio(now_ms)
        lasting = self.read_run_ratio(now_ms)
        self.recent_ratio = recent + _RECENT_WEIGHT * (ratio - recent)
        self.run_ratio = lasting + _LASTING_WEIGHT * (ratio - lasting)
        self.ratio_at_ms = now_ms

    def read_run_ratio(self, now_ms: float) -> float:
        """Return the lasting relative run time, which fades to 1."""
        fade = math.exp((self.ratio_at_ms - now_ms) / SPEED_DECAY_MS)
        return max(MIN_RATIO, 1.0 + (self.run_ratio - 1.0) * fade)

    def read_recent_ratio(self, now_ms: float) -> float:
        """Return the relative run time at present, which fades to the lasting one."""
        fade = math.exp((self.ratio_at_ms - now_ms) / RECENT_SPEED_DECAY_MS)
        return self.run_ratio + (self.recent_ratio - self.run_ratio) * fade

    def room_share(self, slots: int) -> float:
        """Return the room less what was sent since, as a share of the slots."""
        share = (self.room - self.sent_since) / (slots or self.highest_room)
        return max(-1.0, min(1.0, share))

    def expect_completion_ms(
        self, run_ms: float, average_wait_ms: float, slots: int, now_ms: float
    ) -> float:
        """Return the expected time of a call that is sent now, in milliseconds.

        ``run_ms`` is the average run time of calls to the service, and
        ``average_wait_ms`` is expected as far as the report has faded.
        """
        run_ms *= self.read_recent_ratio(now_ms)
        fade = math.exp((self.at_ms - now_ms) / REPORT_DECAY_MS)
        lack = self.sent_since - max(self.room - 1, 0)
        wait_ms = self.wait_ms
        if lack > 0:
            wait_ms += lack * run_ms / (slots or self.highest_room)
        expected_ms = run_ms + fade * wait_ms + (1.0 - fade) * average_wait_ms
        if now_ms - self.at_ms > MAX_REPORT_AGE_MS:
            # Nothing was answered since, so another call may wait as long.
            expected_ms += max(0.0, now_ms - self.silent_since_ms)
        return expected_ms
