"""Keeps requests that crash instances from reaching one after the other."""

from collections.abc import Callable, Mapping
from typing import Any

from jujubetiller import calls, clock, codes, crashes, settings
from jujubetiller.mesh import _header_names, _target_watch

CHECK_INTERVAL_MS = 25.0
"""How often deadlines and trials are checked while calls wait for a trial."""

HOST = "host"


def _send_nothing(message: crashes.CrashMessage) -> None:
    """Send nothing; the default before the node has peers."""


class CrashContainment:
    """Decides how the calls of a node's own target are run after crashes.

    While no crash is known, calls are not even looked at.
    """

    def __init__(
        self,
        reactor: Any,
        time_source: clock.Clock,
        node_settings: settings.MeshSettings,
        headers: _header_names.HeaderNames,
        watch: _target_watch.TargetWatch,
    ) -> None:
        self.reactor = reactor
        self.clock = time_source
        self.node = node_settings.node
        self.identity_headers = (HOST, headers.caller_service)
        self.evidence = crashes.CrashEvidence(time_source, node_settings.crashes)
        self.queue = crashes.SuspectQueue(
            time_source, self.evidence, node_settings.crashes, self._announce_trial
        )
        self.send: Callable[[crashes.CrashMessage], None] = _send_nothing
        """Sends a message to the other nodes beside instances of the service."""

        self.boot_id = ""
        """Keeps the ids of crashes apart from those before a restart of the node."""

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
    ) -> crashes.SuspectCall:
        """Return a call of ``request`` for ``submit``."""
        return crashes.SuspectCall(self.identify(request), deadline, start, refuse)

    def submit(self, call: crashes.SuspectCall) -> None:
        """Start the call, let it wait for a trial, or refuse it."""
        self.queue.submit(call)
        self._arm()

    def record_end(
        self,
        call: crashes.SuspectCall | None,
        request: calls.CallRequest,
        has_response: bool,
    ) -> None:
        """Record that a call has ended; ``call`` is None if it was not submitted."""
        if self.is_idle():
            return
        if has_response:
            self._record_response(
                self.identify(request) if call is None else call.fingerprint
            )
        if call is not None:
            self.queue.finish(call)

    def cancel(self, call: crashes.SuspectCall) -> None:
        """Forget a call whose caller no longer waits for it."""
        self.queue.cancel(call)

    def record_crash(self, lost: list[_target_watch.LostCall]) -> None:
        """Record the crash of the own target, and tell the other nodes."""
        number = self.evidence.counts["crash"]
        report = self.evidence.record_crash(
            f"{self.node}.{self.boot_id}.{number}",
            [self.identify(call.request) for call in lost],
        )
        self._send(reports=(report,))
        self.queue.advance()

    def receive(self, message: crashes.CrashMessage) -> None:
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
        return crashes.compute_request_fingerprint(request, identity)

    def _record_response(self, fingerprint: int) -> None:
        changed = self.evidence.record_response(fingerprint)
        if changed:
            self._send(reports=tuple(changed))
            self.queue.advance()

    def _announce_trial(self, trial: crashes.Trial) -> None:
        self._send(trials=(trial,))

    def _send(
        self,
        reports: tuple[crashes.CrashReport, ...] = (),
        trials: tuple[crashes.Trial, ...] = (),
    ) -> None:
        digest = self.evidence.reports.digest()
        self.send(crashes.CrashMessage(digest, reports, trials))

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
