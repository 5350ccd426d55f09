"""Keeps requests that crash instances from reaching one after the other."""

from collections.abc import Callable, Mapping
from typing import Any

from jujubetiller import calls, clock, codes, settings
from jujubetiller.crashes import (
    _crash_evidence,
    _crash_message,
    _crash_report,
    _fingerprint,
    _suspect_call,
    _suspect_queue,
    _target_watch,
)

_Message = _crash_message.CrashMessage

MAX_WAIT_SHARE = 0.5
"""The part of its time that a call may wait for its trial; the rest is for its run, or
for its caller to come again."""

RETURN_MS = 5_000.0
"""Time after a crash in which an instance may still be away."""

CHECK_INTERVAL_MS = 25.0
"""How often deadlines and trials are checked while calls wait for a trial."""


def _send_nothing(message: _Message) -> None:
    """Send nothing; the default before the node has peers."""


def _count_none() -> int:
    """Return 0; the default before the node has peers."""
    return 0


class CrashContainment:
    """Decides how the calls of a node's own target are run after crashes.

    While no crash is known, calls are not even looked at.
    """

    def __init__(
        self,
        reactor: Any,
        time_source: clock.Clock,
        crash_settings: settings.CrashSettings,
        watch: _target_watch.TargetWatch,
        process_name: str,
        identity_headers: tuple[str, ...],
        is_leaving: Callable[[], bool],
    ) -> None:
        """Contain what the target of ``watch`` runs.

        ``process_name`` is unique among the processes of all nodes, also across
        restarts. ``identity_headers`` are the names, in lower case, of the headers in
        which copies of one request agree. ``is_leaving`` returns whether the target is
        about to stop as planned.
        """
        self.reactor = reactor
        self.clock = time_source
        self.process_name = process_name
        self.identity_headers = identity_headers
        self.is_leaving = is_leaving
        self.evidence = _crash_evidence.CrashEvidence(time_source, crash_settings)
        self.queue = _suspect_queue.SuspectQueue(
            time_source,
            self.evidence,
            crash_settings,
            self._announce_trial,
            self.may_try,
            is_leaving,
        )
        self.count_peers: Callable[[], int] = _count_none
        """Returns the number of the other nodes beside instances of the service."""

        self.send: Callable[[_Message], None] = _send_nothing
        """Sends a message to the other nodes beside instances of the service."""

        self.is_armed = False
        watch.target_ended = self.record_crash

    def is_idle(self) -> bool:
        """Return whether no crash is known."""
        return self.evidence.is_empty()

    def make_call(
        self,
        request: calls.CallRequest,
        deadline: calls.Deadline,
        start: Callable[[], None],
        refuse: Callable[[codes.ResultCode], None],
    ) -> _suspect_call.SuspectCall:
        """Return a call of ``request`` for ``submit``."""
        wait_ms = MAX_WAIT_SHARE * deadline.left_ms(self.clock)
        return _suspect_call.SuspectCall(
            self.identify(request),
            deadline,
            calls.Deadline.after(self.clock, wait_ms),
            start,
            refuse,
        )

    def submit(self, call: _suspect_call.SuspectCall) -> None:
        """Start the call, let it wait for a trial, or refuse it."""
        self.queue.submit(call)
        self._arm()

    def may_try(self) -> bool:
        """Return whether another instance serves if a suspect ends the own one."""
        since_ms = self.clock.now_ms() - RETURN_MS
        crashed = self.evidence.reports.list_crashed_since(since_ms)
        peers = self.count_peers()
        return not peers or len(crashed - {self.process_name}) < peers

    def record_end(
        self,
        call: _suspect_call.SuspectCall | None,
        request: calls.CallRequest,
        has_response: bool,
    ) -> None:
        """Record that a call has ended; ``call`` is None if it was not submitted."""
        if has_response and not self.is_idle():
            self._record_response(
                self.identify(request) if call is None else call.fingerprint
            )
        if call is not None:
            self.queue.finish(call)

    def cancel(self, call: _suspect_call.SuspectCall) -> None:
        """Forget a call whose caller no longer waits for it."""
        self.queue.cancel(call)

    def record_crash(self, lost: list[_target_watch.LostCall]) -> None:
        """Record the crash of the own target, and tell the other nodes.

        The end of a target that leaves is no crash, whatever it still ran.
        """
        if self.is_leaving():
            return
        number = self.evidence.counts["crash"]
        report = self.evidence.record_crash(
            f"{self.process_name}.{number}",
            [self.identify(call.request) for call in lost],
        )
        self._send(reports=(report,))
        self.queue.advance()

    def receive(self, message: _Message) -> None:
        """Apply what another node tells."""
        self.evidence.merge(message.reports)
        self.queue.record_trials(message.trials)

    def expire(self) -> None:
        """Forget the crashes that are too old."""
        if self.evidence.expire():
            self.queue.advance()

    def read_counters(self) -> Mapping[str, float]:
        """Return the numbers of crashes and of what followed from them."""
        return {
            **self.evidence.counts,
            "report_dropped": self.evidence.reports.dropped,
            "wait_refused": self.queue.refused,
        }

    def identify(self, request: calls.CallRequest) -> int:
        """Return the fingerprint of a request."""
        named = {name.lower(): value for name, value in request.headers}
        identity = tuple(named.get(name, "") for name in self.identity_headers)
        return _fingerprint.compute_request_fingerprint(request, identity)

    def _record_response(self, fingerprint: int) -> None:
        was_blamed = self.evidence.is_blamed(fingerprint)
        changed = self.evidence.record_response(fingerprint)
        if was_blamed:
            # The others learn in the next comparison that a mere suspect is cleared.
            self._send(reports=tuple(changed))
        if changed:
            self.queue.advance()

    def _announce_trial(self, trial: _crash_message.Trial) -> None:
        self._send(trials=(trial,))

    def _send(
        self,
        reports: tuple[_crash_report.CrashReport, ...] = (),
        trials: tuple[_crash_message.Trial, ...] = (),
    ) -> None:
        self.send(_Message(None, reports, trials))

    def _arm(self) -> None:
        if self.queue.waiting and not self.is_armed:
            self.is_armed = True
            self.reactor.callLater(CHECK_INTERVAL_MS / 1000.0, self._check)

    def _check(self) -> None:
        self.is_armed = False
        try:
            self.queue.advance()
        finally:
            self._arm()
