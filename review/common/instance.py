"""A stand-in for an instance of a service, which reports itself to the store."""

import asyncio
import contextlib
import dataclasses
import hashlib
import time
from collections.abc import Callable
from typing import Any

from common import http, store

IDLE_TIMEOUT_S = 10
"""After this time an idle connection is closed; stated in ``Keep-Alive``."""


@dataclasses.dataclass
class Run:
    """A request that has reached an instance."""

    at_s: float
    instance: str
    service: str
    request: str
    method: str
    path: str
    digest: str
    deadline_ms: int
    ended_s: float = 0.0
    end: str = "running"
    """``answered``, ``dropped`` (its connection closed) or ``not run``."""


class Instance:
    """Runs requests for a time that ``work_s`` returns, and answers with a stamp."""

    def __init__(
        self,
        site_store: store.Store,
        name: str,
        service: str,
        zone: str,
        host: str,
        port: int,
        capacity: int,
        work_s: Callable[[str], float],
        body: Callable[[str], bytes],
    ) -> None:
        self.store = site_store
        self.name = name
        self.service = service
        self.zone = zone
        self.host = host
        self.port = port
        self.capacity = capacity
        self.work_s = work_s
        self.body = body
        self.state = "ready"
        self.sequence = 1
        self.born = int(time.time() * 1000)
        self.runs: list[Run] = []
        self.running = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Open the listener and report the instance as ready."""
        self.server = await asyncio.start_server(self._serve, self.host, self.port)
        await self.report()

    async def report(self) -> None:
        """Write the entry; the store's acknowledgement is the return."""
        self.sequence += 1
        document: dict[str, Any] = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "capacity": self.capacity,
            "state": self.state,
            "warmup_left": "0ms",
            "sequence": self.sequence,
            "born": self.born,
        }
        await self.store.put(f"servers/{self.name}", document)

    async def drain(self) -> None:
        """Report the instance as draining."""
        self.state = "draining"
        await self.report()

    def crash(self) -> None:
        """End at once: connections are reset, and the port refuses new ones."""
        if self.server is not None:
            self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        with contextlib.suppress(
            asyncio.IncompleteReadError,
            ConnectionError,
            TimeoutError,
            asyncio.CancelledError,
        ):
            while True:
                message = await asyncio.wait_for(
                    http.read_message(reader), IDLE_TIMEOUT_S
                )
                if not await self._run(message, reader, writer):
                    break
        self.writers.discard(writer)
        writer.close()

    async def _run(
        self,
        message: http.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run one request; return whether the connection is kept."""
        method, path, _ = message.start_line.split(" ")
        headers = message.headers
        request = headers.get("jujubetiller-request-id", "")
        run = Run(
            time.monotonic(),
            self.name,
            self.service,
            request,
            method,
            path,
            hashlib.sha256(message.body).hexdigest()[:16],
            int(headers.get("jujubetiller-deadline-ms", "0")),
        )
        self.runs.append(run)
        head = {
            "Jujubetiller-Request-Id": request,
            "Keep-Alive": f"timeout={IDLE_TIMEOUT_S}",
        }
        expected = headers.get("jujubetiller-expected-instance", self.name)
        refusal = ""
        if expected != self.name:
            refusal = "HTTP/1.1 421 Misdirected Request"
            head["Jujubetiller-Instance-Id"] = self.name
        elif self.running >= self.capacity:
            refusal = "HTTP/1.1 503 Service Unavailable"
            head["Jujubetiller-Not-Executed"] = "1"
        if refusal:
            run.end = "not run"
            writer.write(http.encode(refusal, head))
            await writer.drain()
            return True
        self.running += 1
        gone = asyncio.ensure_future(reader.read(1))
        try:
            done, _ = await asyncio.wait({gone}, timeout=self.work_s(path))
            if done:
                run.end = "dropped"
                return False
        finally:
            self.running -= 1
            run.ended_s = time.monotonic()
            gone.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await gone
        run.end = "answered"
        head["Jujubetiller-Server-Stamp"] = f"{self.name}.{len(self.runs)}"
        writer.write(http.encode("HTTP/1.1 200 OK", head, self.body(path)))
        await writer.drain()
        return True
