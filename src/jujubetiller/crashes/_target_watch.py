"""Recognises that the target has ended while it was running calls."""

import collections
from collections.abc import Callable

import attrs
import logbook

from jujubetiller import calls, clock, target

_LOG = logbook.Logger("jujubetiller.crashes")

MAX_LOGGED_REQUESTS = 16


@attrs.frozen
class LostCall:
    """A call whose connection to the target broke before its response was complete."""

    request: calls.CallRequest

    request_id: str
    """The id that the caller has given the request."""

    started_at_ms: float
    ended: Callable[[bool], None]
    """Called with whether the target has ended."""


def _do_nothing(lost: list[LostCall]) -> None:
    """Do nothing; the default observer."""


class TargetWatch:
    """Tells the end of the target from the loss of single connections.

    When the target ends, the connections of all its calls break at once and no new one
    can be opened. A broken connection alone says little: targets reset some, and faulty
    ones break off their responses. So the first loss starts a probe, and the calls that
    are lost until it ends are reported together.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        target_client: target.TargetClient,
    ) -> None:
        self.clock = time_source
        self.target = target_client
        self.target_ended = _do_nothing
        """Called with the calls that ran when the target ended."""

        self.lost: list[LostCall] = []
        self.counts: collections.Counter[str] = collections.Counter()
        """What the probes showed."""

    def record_lost(self, call: LostCall) -> None:
        """Report ``call`` as lost once a probe shows what happened."""
        self.lost.append(call)
        if len(self.lost) == 1:
            self.target.probe(self._probed)

    def _probed(self, probe_result: target.ProbeResult) -> None:
        lost, self.lost = self.lost, []
        self.counts[probe_result.value] += 1
        has_ended = probe_result is target.ProbeResult.REFUSED
        if has_ended:
            # The latest starts come first: a crash mostly follows soon after the start
            # of the call that causes it.
            lost.sort(key=lambda call: call.started_at_ms, reverse=True)
            self._log(lost)
            self.target_ended(lost)
        for call in lost:
            call.ended(has_ended)

    def _log(self, lost: list[LostCall]) -> None:
        now_ms = self.clock.now_ms()
        _LOG.warning(
            "target ended while it ran calls",
            extra={
                "instance": lost[0].request.expected_instance,
                "calls": len(lost),
                "requests": [
                    {
                        "request": call.request_id,
                        "path": call.request.path[:80],
                        "ran_ms": round(now_ms - call.started_at_ms, 1),
                    }
                    for call in lost[:MAX_LOGGED_REQUESTS]
                ],
            },
        )
