"""Exchange of crash reports between the nodes beside instances of one service."""

import functools

import logbook
import result

from jujubetiller import calls, codes, crashes, settings
from jujubetiller.mesh import _crash_containment, _mesh_parts, _state_exchange

_LOG = logbook.Logger("jujubetiller.mesh")

PATH = "/crashes"
"""Path of the messages, which are calls for ``STATE_SERVICE``."""

ANSWER_TIMEOUT_MS = 1_000.0

MAX_ASKED_AT_START = 16


class CrashExchange:
    """Sends what a node learns of crashes to the others of its service at once.

    Only they can run the same requests. A node that starts asks some of them; and while
    it knows of crashes, a node compares its reports with one of them now and then, so
    that reports also reach nodes that were out of reach.
    """

    def __init__(
        self,
        parts: _mesh_parts.MeshParts,
        containment: _crash_containment.CrashContainment,
    ) -> None:
        self.parts = parts
        self.containment = containment
        self.has_asked = False
        """Whether the node has asked other nodes after its start."""

        self.is_stopped = False
        containment.send = self.send_to_all

    def start(self) -> None:
        """Start the periodic comparison."""
        self._schedule()

    def stop(self) -> None:
        """Compare no more."""
        self.is_stopped = True

    def ask_at_start(self) -> None:
        """Ask other nodes for their reports, once; no effect while none is known."""
        peers = self._list_peers()
        if self.has_asked or not peers:
            return
        self.has_asked = True
        if len(peers) > MAX_ASKED_AT_START:
            peers = self.parts.random.sample(peers, MAX_ASKED_AT_START)
        for address in peers:
            self._compare(address)

    def send_to_all(self, message: crashes.CrashMessage) -> None:
        """Send a message to all other nodes of the service."""
        for address in self._list_peers():
            self._send(address, message)

    def answer(self, request: calls.CallRequest) -> calls.CallAnswer:
        """Apply a message; the answer has all reports if the sender knows others."""
        now_ms = self.parts.clock.now_ms()
        decoded = crashes.decode_message(request.body, now_ms)
        if isinstance(decoded, result.Err):
            _LOG.warning("crash message rejected: {}", decoded.err_value)
            return calls.make_refusal(codes.ResultCode.BAD_FRAME)
        message = decoded.ok_value
        self.containment.receive(message)
        reports = self.containment.evidence.reports
        is_equal = message.digest == reports.digest()
        answer = crashes.CrashMessage(
            reports.digest(), () if is_equal else reports.all()
        )
        return calls.CallAnswer(
            outcome=codes.Outcome.ANSWERED,
            code=codes.ResultCode.ANSWERED,
            status=200,
            body=answer.encode(now_ms),
        )

    def _list_peers(self) -> list[settings.Address]:
        return self.parts.directory.service_peers(self.parts.settings.service)

    def _compare(self, address: settings.Address) -> None:
        """Get the reports of a peer that differ, and send it those that it lacks."""
        digest = self.containment.evidence.reports.digest()
        self._send(address, crashes.CrashMessage(digest))

    def _send(self, address: settings.Address, message: crashes.CrashMessage) -> None:
        request = calls.CallRequest(
            service=_state_exchange.STATE_SERVICE,
            method="POST",
            path=PATH,
            kind="",
            priority_class=0,
            rank=0,
            idempotent=True,
            deadline_left_ms=ANSWER_TIMEOUT_MS,
            body=message.encode(self.parts.clock.now_ms()),
        )
        deadline = calls.Deadline.after(self.parts.clock, ANSWER_TIMEOUT_MS)
        answered = functools.partial(self._apply_answer, address, bool(message.reports))
        self.parts.pool.send_call(address, request, deadline, answered)

    def _apply_answer(
        self,
        address: settings.Address,
        has_sent_reports: bool,
        answer: calls.CallAnswer,
    ) -> None:
        if answer.code is not codes.ResultCode.ANSWERED:
            return
        decoded = crashes.decode_message(answer.body, self.parts.clock.now_ms())
        if isinstance(decoded, result.Err):
            _LOG.warning("crash message rejected: {}", decoded.err_value)
            return
        message = decoded.ok_value
        self.containment.receive(message)
        reports = self.containment.evidence.reports
        if message.digest != reports.digest() and not has_sent_reports:
            self._send(address, crashes.CrashMessage(reports.digest(), reports.all()))

    def _schedule(self) -> None:
        if self.is_stopped:
            return
        jitter = 0.8 + 0.4 * self.parts.random.random()
        pause_ms = self.parts.settings.crashes.exchange_ms * jitter
        self.parts.reactor.callLater(pause_ms / 1000.0, self._run_round)

    def _run_round(self) -> None:
        if self.is_stopped:
            return
        self._schedule()
        self.containment.expire()
        peers = self._list_peers()
        if peers and not self.containment.is_idle():
            self._compare(self.parts.random.choice(peers))
