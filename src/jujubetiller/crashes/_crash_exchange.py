"""Exchange of crash reports between the nodes beside instances of one service."""

import functools
import random
from typing import Any

import logbook
import result

from jujubetiller import calls, clock, codes, settings
from jujubetiller.crashes import (
    _crash_containment,
    _crash_message,
    _crash_peers,
)

_LOG = logbook.Logger("jujubetiller.crashes")

_Message = _crash_message.CrashMessage

NODE_SERVICE = ""
"""Calls for this service are messages to the node; no real one has an empty name."""

PATH = "/crashes"
"""Path of the calls that hold the messages."""

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
        reactor: Any,
        time_source: clock.Clock,
        random_source: random.Random,
        crash_settings: settings.CrashSettings,
        containment: _crash_containment.CrashContainment,
        peers: _crash_peers.CrashPeers,
    ) -> None:
        self.reactor = reactor
        self.clock = time_source
        self.random = random_source
        self.settings = crash_settings
        self.containment = containment
        self.peers = peers
        self.has_asked = False
        """Whether the node has asked other nodes after its start."""

        self.is_stopped = False
        containment.send = self.send_to_all
        containment.count_peers = self.count_peers

    def start(self) -> None:
        """Start the periodic comparison."""
        self._schedule()

    def stop(self) -> None:
        """Compare no more."""
        self.is_stopped = True

    def ask_at_start(self) -> None:
        """Ask other nodes for their reports, once; no effect while none is known."""
        if self.has_asked:
            return
        addresses = self.peers.list_addresses()
        self.has_asked = bool(addresses)
        if len(addresses) > MAX_ASKED_AT_START:
            addresses = self.random.sample(addresses, MAX_ASKED_AT_START)
        for address in addresses:
            self._compare(address)

    def count_peers(self) -> int:
        """Return the number of the other nodes of the service."""
        return len(self.peers.list_addresses())

    def send_to_all(self, message: _Message) -> None:
        """Send a message to all other nodes of the service."""
        for address in self.peers.list_addresses():
            self._send(address, message)

    def answer(self, request: calls.CallRequest) -> calls.CallAnswer:
        """Apply a message; the answer has all reports if it compares other ones."""
        now_ms = self.clock.now_ms()
        decoded = _crash_message.decode_message(request.body, now_ms)
        if isinstance(decoded, result.Err):
            _LOG.warning("crash message rejected: {}", decoded.err_value)
            return calls.make_refusal(codes.ResultCode.BAD_FRAME)
        message = decoded.ok_value
        self.containment.receive(message)
        answer = self._compare_with(message.digest)
        return calls.CallAnswer(
            outcome=codes.Outcome.ANSWERED,
            code=codes.ResultCode.ANSWERED,
            status=200,
            body=answer.encode(now_ms),
        )

    def _compare_with(self, digest: int | None) -> _Message:
        """Return the reports that a peer with other ones may lack."""
        reports = self.containment.evidence.reports
        if digest is None or digest == reports.digest():
            return _Message(digest)
        return _Message(reports.digest(), reports.all())

    def _compare(self, address: settings.Address) -> None:
        """Get the reports of a peer that differ, and send it those that it lacks."""
        self._send(address, _Message(self.containment.evidence.reports.digest()))

    def _send(self, address: settings.Address, message: _Message) -> None:
        request = calls.CallRequest(
            service=NODE_SERVICE,
            method="POST",
            path=PATH,
            kind="",
            priority_class=0,
            rank=0,
            idempotent=True,
            deadline_left_ms=ANSWER_TIMEOUT_MS,
            body=message.encode(self.clock.now_ms()),
        )
        deadline = calls.Deadline.after(self.clock, ANSWER_TIMEOUT_MS)
        answered = functools.partial(self._apply_answer, address)
        self.peers.send_call(address, request, deadline, answered)

    def _apply_answer(
        self, address: settings.Address, answer: calls.CallAnswer
    ) -> None:
        if answer.code is not codes.ResultCode.ANSWERED:
            return
        decoded = _crash_message.decode_message(answer.body, self.clock.now_ms())
        if isinstance(decoded, result.Err):
            _LOG.warning("crash message rejected: {}", decoded.err_value)
            return
        message = decoded.ok_value
        self.containment.receive(message)
        reports = self.containment.evidence.reports
        if message.digest not in (None, reports.digest()):
            self._send(address, _Message(None, reports.all()))

    def _schedule(self) -> None:
        jitter = 0.8 + 0.4 * self.random.random()
        pause_ms = self.settings.exchange_ms * jitter
        self.reactor.callLater(pause_ms / 1000.0, self._run_round)

    def _run_round(self) -> None:
        if self.is_stopped:
            return
        self._schedule()
        self.ask_at_start()
        self.containment.expire()
        addresses = self.peers.list_addresses()
        if addresses and not self.containment.is_idle():
            self._compare(self.random.choice(addresses))
