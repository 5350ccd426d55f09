"""Runs the suspects of one node apart from each other."""

from collections.abc import Callable, Iterable

import logbook

from jujubetiller import clock, codes, settings
from jujubetiller.crashes import (
    _crash_evidence,
    _crash_message,
    _standing,
    _suspect_call,
)

_LOG = logbook.Logger("jujubetiller.crashes")

_Call = _suspect_call.SuspectCall
_State = _suspect_call.SuspectState
_Standing = _standing.Standing
_Code = codes.ResultCode


class SuspectQueue:
    """Starts at most one suspect at a time at the node's instance.

    Copies of a request that another node has on trial wait for its end, so that one
    request crashes one instance at a time. Calls whose request is cleared meanwhile
    start at once, those of a blamed one are refused. An instance that leaves gets no
    further trial.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        evidence: _crash_evidence.CrashEvidence,
        crash_settings: settings.CrashSettings,
        announce: Callable[[_crash_message.Trial], None],
        may_try: Callable[[], bool],
        is_leaving: Callable[[], bool],
    ) -> None:
        self.clock = time_source
        self.evidence = evidence
        self.settings = crash_settings
        self.announce = announce
        """Called with each trial that begins or ends at this node."""

        self.may_try = may_try
        """Returns whether the service can spare this node's instance now."""

        self.is_leaving = is_leaving
        """Returns whether the node's instance is about to stop as planned."""

        self.waiting: list[_Call] = []
        self.running: _Call | None = None
        self.trials_elsewhere: dict[int, float] = {}
        """When the trials of other nodes end at the latest, by fingerprint."""

        self.is_advancing = False
        self.refused = 0
        """Calls that were refused because too many were waiting."""

    def submit(self, call: _Call) -> None:
        """Start, keep or refuse a call, as its request stands."""
        _HANDLERS[self.evidence.find_standing(call.fingerprint)](self, call)

    def cancel(self, call: _Call) -> None:
        """Forget a call whose caller no longer waits for it."""
        if call.state is _State.WAITING:
            call.state = _State.ENDED
            call.drop_callbacks()
            self.waiting.remove(call)
        else:
            self.finish(call)

    def finish(self, call: _Call) -> None:
        """End a call that was started, and start the next suspect if it was one."""
        call.state = _State.ENDED
        if call is not self.running:
            return
        self.running = None
        self.announce(_crash_message.Trial(call.fingerprint, 0.0))
        self.advance()

    def record_trials(self, trials: Iterable[_crash_message.Trial]) -> None:
        """Record which suspects other nodes have on trial."""
        now_ms = self.clock.now_ms()
        for trial in trials:
            if trial.lasts_ms:
                self.trials_elsewhere[trial.fingerprint] = now_ms + trial.lasts_ms
            else:
                self.trials_elsewhere.pop(trial.fingerprint, None)
        self.advance()

    def advance(self) -> None:
        """Start or refuse what no longer has to wait, and start the next suspect."""
        if self.is_advancing:
            return
        # Starting a call may end another one and change the evidence.
        self.is_advancing = True
        try:
            while self._advance_once():
                pass
        finally:
            self.is_advancing = False

    def _advance_once(self) -> bool:
        """Handle one waiting call; return whether there was one to handle."""
        if self.waiting and self.is_leaving():
            self._refuse_all()
            return True
        for call in self.waiting:
            if call.waits_until.has_passed(self.clock):
                self._end_waiting(call)
                call.call_refuse(_Code.SUSPECT_NOT_TRIED)
                return True
            standing = self.evidence.find_standing(call.fingerprint)
            if standing is not _Standing.SUSPECT:
                self._end_waiting(call)
                _HANDLERS[standing](self, call)
                return True
        return self._start_next()

    def _start_next(self) -> bool:
        if self.running is not None or not self.waiting or not self.may_try():
            return False
        self._drop_ended_trials()
        free = [
            call
            for call in self.waiting
            if call.fingerprint not in self.trials_elsewhere
        ]
        if not free:
            return False
        call = min(free, key=lambda each: self.evidence.rank(each.fingerprint))
        self._end_waiting(call)
        self.running = call
        _LOG.info(
            "trial started",
            extra={
                "fingerprint": _crash_evidence.describe(call.fingerprint),
                "waited_ms": round(self.clock.now_ms() - call.waits_from_ms, 1),
                "waiting": len(self.waiting),
            },
        )
        lasts_ms = call.deadline.left_ms(self.clock)
        self.announce(_crash_message.Trial(call.fingerprint, lasts_ms))
        self._start(call)
        return True

    def _drop_ended_trials(self) -> None:
        now_ms = self.clock.now_ms()
        self.trials_elsewhere = {
            fingerprint: ends_at_ms
            for fingerprint, ends_at_ms in self.trials_elsewhere.items()
            if ends_at_ms > now_ms
        }

    def _refuse_all(self) -> None:
        """End all waits, as their calls can only run at other instances."""
        waiting, self.waiting = self.waiting, []
        _LOG.info("no more trials: the instance leaves", extra={"calls": len(waiting)})
        for call in waiting:
            call.state = _State.ENDED
            call.call_refuse(_Code.DRAINING)

    def _end_waiting(self, call: _Call) -> None:
        self.waiting.remove(call)
        call.state = _State.ENDED

    def _start(self, call: _Call) -> None:
        call.state = _State.RUNNING
        call.call_start()

    def _keep(self, call: _Call) -> None:
        """Let a suspect wait for its trial."""
        if len(self.waiting) >= self.settings.max_waiting:
            self.refused += 1
            call.call_refuse(_Code.SUSPECT_NOT_TRIED)
            return
        self.evidence.record_arrival(call.fingerprint)
        call.waits_from_ms = self.clock.now_ms()
        self.waiting.append(call)
        self.advance()

    def _refuse(self, call: _Call) -> None:
        call.state = _State.ENDED
        call.call_refuse(_Code.REQUEST_CRASHES_TARGETS)


_HANDLERS: dict[_Standing, Callable[[SuspectQueue, _Call], None]] = {
    _Standing.CLEAR: SuspectQueue._start,
    _Standing.SUSPECT: SuspectQueue._keep,
    _Standing.BLAMED: SuspectQueue._refuse,
}
