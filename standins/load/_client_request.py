"""One request of a client with its retries."""

from typing import Any

import attrs
from twisted.internet import defer, error
from twisted.web import client as web_client

from standins import answers, client, headers
from standins.load import _kind_counters, _load_plan

LOST = "connection-lost"
TIMED_OUT = "timed-out"
CERTAIN_OUTCOMES = ("good", "not-run", "late", "failed", "faulty")


@attrs.define(eq=False)
class ClientRequest:
    """Sends a request and retries it as its kind specifies."""

    kind: _load_plan.LoadKind
    plan: _load_plan.LoadPlan
    counters: _kind_counters.KindCounters
    marker: str
    body: bytes
    arrived_at: float
    reactor: Any
    attempts: list[str] = attrs.field(factory=list)
    """The outcome of each attempt."""

    def left_ms(self) -> float:
        """Return the milliseconds left until the deadline."""
        passed = self.reactor.seconds() - self.arrived_at
        return self.kind.deadline_ms - passed * 1000

    async def run(self, sender: client.Client, entries: list[str]) -> str:
        """Send until the answer is good or no retry is allowed; return the outcome."""
        passed_on: dict[str, str] = {}
        for retry in range(self.kind.retries + 1):
            entry = entries[retry % len(entries)]
            end, answer = await self.attempt(sender, entry, passed_on)
            self.attempts.append(end)
            self.counters.attempt_outcomes[end] += 1
            if end in ("good", "late", "faulty") or self.left_ms() <= 0:
                break
            if self.kind.retry_mode == "token":
                token = answer.header(headers.RETRY_TOKEN) if answer else ""
                if not token:
                    break
                passed_on = {headers.RETRY_TOKEN: token}
                key = answer.header(headers.KEY) if answer else ""
                if key:
                    passed_on[headers.KEY] = key
        return self.conclude()

    def conclude(self) -> str:
        """Return the last outcome, but an uncertain one instead of ``not-run``."""
        last = self.attempts[-1]
        uncertain = [end for end in self.attempts if end not in CERTAIN_OUTCOMES]
        return uncertain[-1] if last == "not-run" and uncertain else last

    async def attempt(
        self, sender: client.Client, entry: str, passed_on: dict[str, str]
    ) -> tuple[str, client.Answer | None]:
        """Send once and return how it ended."""
        left_ms = max(1.0, self.left_ms())
        sent = {headers.MARKER: self.marker, headers.DEADLINE: str(int(left_ms))}
        url = f"http://{entry}/{self.kind.service}{self.kind.path}"
        deferred = defer.Deferred.fromCoroutine(
            sender.call(self.kind.method, url, sent | passed_on, self.body)
        )
        timer = self.reactor.callLater(
            (left_ms + self.plan.grace_ms) / 1000, deferred.cancel
        )
        try:
            answer = await deferred
        except defer.CancelledError:
            return TIMED_OUT, None
        except (error.ConnectError, error.ConnectionLost, error.ConnectionDone):
            return LOST, None
        except (web_client.ResponseFailed, web_client.PartialDownloadError):
            return (LOST if timer.active() else TIMED_OUT), None
        finally:
            if timer.active():
                timer.cancel()
        return self.classify(answer), answer

    def classify(self, answer: client.Answer) -> str:
        """Return the outcome of ``answer`` and count its code and faults."""
        code = answer.header(headers.CODE)
        self.counters.codes[code or f"HTTP {answer.status}"] += 1
        record = answer.header(headers.RECORD)
        if record and len(self.counters.records) < self.plan.report_records:
            self.counters.records.append(record)
        outcome = answer.header(headers.OUTCOME)
        if outcome in ("not-run", "unknown"):
            return outcome
        if answer.header(headers.NOT_RUN) == "1":
            return "not-run"
        if answer.status != 200:
            return "failed"
        fault = answers.find_fault(answer.body, self.marker, self.body)
        if fault:
            self.counters.faults[fault] += 1
            return "faulty"
        return "good" if self.left_ms() >= 0 else "late"
