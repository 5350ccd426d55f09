"""Reads the lists of instances that the platform publishes."""

from collections.abc import Callable, Iterable

import logbook
import result
from twisted.internet import interfaces

from jujubetiller import codes, membership, published
from jujubetiller.platform_client import (
    _listed_instance,
    _platform_client,
    _platform_value,
    _watch,
)

ZONES_KEY = "vms/zones"

UNKNOWN_ZONE_PAUSE_MS = 1_000.0
"""Mean pause before the next check for zones of which no instance is known, while
such zones are found."""

CHECK_ZONES_PAUSE_MS = 30_000.0

_LOG = logbook.Logger("jujubetiller.platform_client")

OnList = Callable[[str, list[membership.InstanceRecord], int], object]


class VmListReader:
    """Watches the list of its own zone and discovers instances of unknown zones.

    Instances of other zones usually become known through the control exchange. The
    list of another zone is read only while no instance of it is known, one zone at a
    time, because its instances usually report all others.
    """

    def __init__(
        self,
        platform: _platform_client.PlatformClient,
        own_zone: str,
        known_zones: Callable[[], Iterable[str]],
        on_list: OnList,
        period_ms: Callable[[], float] | None = None,
    ) -> None:
        self.platform = platform
        self.own_zone = own_zone
        self.known_zones = known_zones
        self.on_list = on_list
        self.period_ms = period_ms
        self.revision = published.Revision()
        self.watch: _watch.Watch | None = None
        self.timer: interfaces.IDelayedCall | None = None
        self.read_zones: set[str] = set()
        self.bad_list_count = 0

    @property
    def is_running(self) -> bool:
        """Whether the reader watches the list."""
        return self.watch is not None

    def start(self) -> None:
        """Start to watch the list; no effect when the reader is running."""
        if self.watch is None:
            self.watch = self.platform.watch(
                f"vms/{self.own_zone}", self.revision, self._receive, self.period_ms
            )
            self._check_zones_after(UNKNOWN_ZONE_PAUSE_MS)

    def stop(self) -> None:
        """Stop watching; the answer to a read in progress is ignored."""
        if self.watch is not None:
            self.watch.stop()
            self.watch = None
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def _receive(self, value: _platform_value.PlatformValue) -> None:
        self.revision = value.revision
        self._handle_list(value, self.own_zone)

    def _handle_list(self, value: _platform_value.PlatformValue, zone: str) -> None:
        parsed = _listed_instance.parse_instances(value.value, zone)
        if isinstance(parsed, result.Err):
            self._report_invalid(value, parsed.err_value)
            return
        self.on_list(zone, parsed.ok_value, value.revision.rank)

    def _report_invalid(
        self, value: _platform_value.PlatformValue, problem: codes.Problem
    ) -> None:
        self.bad_list_count += 1
        _LOG.error("{} version {} was skipped: {}", value.key, value.version, problem)

    def _check_zones_after(self, delay_ms: float) -> None:
        delay_s = delay_ms * (0.5 + self.platform.random.random()) / 1_000
        self.timer = self.platform.reactor.callLater(delay_s, self._check_zones)

    def _check_zones(self) -> None:
        self.platform.read(ZONES_KEY).addCallback(self._receive_zones)

    def _receive_zones(self, answer: _platform_client.Answer) -> None:
        if self.watch is None:
            return
        unknown: list[str] = []
        if isinstance(answer, result.Ok):
            parsed = _listed_instance.parse_zones(answer.ok_value.value)
            if isinstance(parsed, result.Err):
                self._report_invalid(answer.ok_value, parsed.err_value)
            else:
                known = {*self.known_zones(), *self.read_zones, self.own_zone}
                unknown = sorted(set(parsed.ok_value) - known)
        if not unknown:
            # Lists that had no instances are read again from the next check on.
            self.read_zones.clear()
            self._check_zones_after(CHECK_ZONES_PAUSE_MS)
            return
        zone = self.platform.random.choice(unknown)
        self.read_zones.add(zone)
        self.platform.read(f"vms/{zone}").addCallback(self._receive_other, zone)

    def _receive_other(self, answer: _platform_client.Answer, zone: str) -> None:
        if self.watch is None:
            return
        if isinstance(answer, result.Ok):
            self._handle_list(answer.ok_value, zone)
        self._check_zones_after(UNKNOWN_ZONE_PAUSE_MS)
