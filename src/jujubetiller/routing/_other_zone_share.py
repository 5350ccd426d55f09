"""The share of calls that goes to other zones while the own one is full."""

import logbook

from jujubetiller.routing import _zone_room

_LOG = logbook.Logger("jujubetiller.routing")

SHORT_ROOM = 0.0
"""Below this room the own zone is short: on average, calls wait at its instances."""

AMPLE_ROOM = 0.05
"""Above this room calls return; between both bounds the share stays as it is, so that
it does not follow small changes of the load."""

OTHER_ROOM = 0.15
"""Other zones with less room get no greater share."""

FULL_ROOM = 0.05
"""Other zones with less room get a smaller share."""

_RISE_PER_S = 3.0
"""Change of the share in a second for each unit of lacking room. It follows a load that
rises by half within some seconds."""

_FALL_PER_S = 4.0
"""Change of the share in a second for each unit of room beyond the ample one. It is
greater than for the rise, because traffic between zones costs."""

_FALL_WITHOUT_ROOM_PER_S = 0.5
"""Change of the share in a second while other zones are full: calls that wait there as
they would in the own zone cost traffic for nothing."""

_FALL_WITHOUT_REPORT_PER_S = 0.2
"""Change of the share in a second without a report of the own zone: calls that return
bring reports, and a slow return does not fill a zone that still lacks room."""

HIGHEST_SHARE = 0.8
"""The rest keeps the reports of the own zone young."""

HIGHEST_FAILING_SHARE = 0.98
"""Bound while the own zone fails most calls: the rest notices when it answers again."""

_FAILED_WEIGHT = 0.1
_ANSWERED_WEIGHT = 0.25
_FAILING_RATE = 0.5
"""The zone counts as failing from this average on, which 71% of failed calls reach. It
does not fade with time, as few calls are sent there; three answers end it."""

_FAILING_RISE_PER_S = 1.0
"""Lowest change of the share in a second while the own zone fails most calls, so that
nearly all calls leave it within a second."""

HIGHEST_UNKNOWN_SHARE = 0.1
"""Bound while no report of another zone is young: the first calls bring reports."""

_MAX_STEP_MS = 250.0
_LOGGED_SHARE = 0.02
"""The start is logged from this share on, so that noise writes no lines."""


class OtherZoneShare:
    """Follows the part of the load that the own zone lacks room for.

    All nodes of a zone see similar reports. The share changes by what is lacking, a
    few times slower than reports age, so that they don't all leave at once.
    """

    def __init__(self) -> None:
        self.share = 0.0
        self.due = 0.0
        """Sum of the shares of calls since the last one that went to another zone."""

        self.own_failure_rate = 0.0
        """Moving average over calls in the own zone; answers weigh more."""

        self.updated_at_ms = 0.0
        self.is_sending = False
        self.starts = 0

    def record_own(self, failed: bool) -> None:
        """Count the end of a call in the own zone."""
        weight = _FAILED_WEIGHT if failed else _ANSWERED_WEIGHT
        self.own_failure_rate += weight * (failed - self.own_failure_rate)

    def is_failing(self) -> bool:
        """Return whether most calls in the own zone fail."""
        return self.own_failure_rate > _FAILING_RATE

    def update(
        self,
        service: str,
        own: _zone_room.ZoneRoom,
        others: _zone_room.ZoneRoom,
        now_ms: float,
    ) -> None:
        """Update the share to the time ``now_ms`` by what is known of the zones."""
        elapsed_s = min(now_ms - self.updated_at_ms, _MAX_STEP_MS) / 1_000.0
        self.updated_at_ms = now_ms
        step = elapsed_s * self._rate_per_s(own, others)
        highest = HIGHEST_FAILING_SHARE if self.is_failing() else HIGHEST_SHARE
        share = min(highest, self.share + step)
        if step > 0.0 and others.share is None:
            share = min(share, max(self.share, HIGHEST_UNKNOWN_SHARE))
        self.share = max(0.0, share)
        if self.share == 0.0:
            self.due = 0.0
        self._log(service, own, others)

    def _rate_per_s(
        self, own: _zone_room.ZoneRoom, others: _zone_room.ZoneRoom
    ) -> float:
        """Return the change of the share in a second."""
        is_failing = self.is_failing()
        if own.share is None and not is_failing:
            return -_FALL_WITHOUT_REPORT_PER_S
        if own.share is not None and own.share > AMPLE_ROOM and not is_failing:
            return -_FALL_PER_S * (own.share - AMPLE_ROOM)
        if others.share is not None and others.share < FULL_ROOM:
            return -_FALL_WITHOUT_ROOM_PER_S
        if others.share is not None and others.share <= OTHER_ROOM:
            return 0.0
        rate = 0.0
        if own.share is not None and own.share < SHORT_ROOM:
            rate = _RISE_PER_S * (SHORT_ROOM - own.share)
        return max(rate, _FAILING_RISE_PER_S) if is_failing else rate

    def take_call(self) -> bool:
        """Count a call, and return whether it goes to another zone."""
        if self.share <= 0.0:
            return False
        self.due += self.share
        if self.due < 1.0:
            return False
        self.due -= 1.0
        return True

    def _log(
        self, service: str, own: _zone_room.ZoneRoom, others: _zone_room.ZoneRoom
    ) -> None:
        """Log the start and the end of sending to other zones."""
        if self.is_sending == (self.share > 0.0) or (
            not self.is_sending and self.share < _LOGGED_SHARE
        ):
            return
        self.is_sending = not self.is_sending
        self.starts += self.is_sending
        _LOG.info(
            "calls go to other zones" if self.is_sending else "calls stay in the zone",
            extra={
                "service": service,
                "share": round(self.share, 3),
                "own_room": None if own.share is None else round(own.share, 2),
                "own_wait_ms": round(own.wait_ms, 1),
                "own_age_ms": _round_age(own.age_ms),
                "other_room": None if others.share is None else round(others.share, 2),
                "other_age_ms": _round_age(others.age_ms),
            },
        )


def _round_age(age_ms: float) -> float | None:
    """Return the age for a log line, None if there was no report."""
    return round(age_ms, 1) if age_ms < 1e9 else None
