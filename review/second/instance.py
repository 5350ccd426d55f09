"""An instance of a service, as PROTOCOL.md describes it."""

import asyncio
import dataclasses

from review.second import http


@dataclasses.dataclass
class Run:
    """A request that an instance began to work on."""

    request: str
    at: float
    instance: str
    service: str
    path: str
    is_answered: bool = False


class Instance:
    """Runs the requests that name it, each for ``work_s``."""

    def __init__(
        self, name: str, service: str, host: str, port: int, runs: list[Run]
    ) -> None:
        self.name = name
        self.service = service
        self.host = host
        self.port = port
        self.runs = runs
        self.work_s = 0.05
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.arrivals: list[tuple[float, str]] = []

    async def start(self) -> None:
        """Accept connections."""
        self.server = await asyncio.start_server(self._serve, self.host, self.port)

    def stop(self) -> None:
        """End at once; all connections break."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                request = await http.read_message(reader)
                writer.write(await self._answer(request))
                await writer.drain()
        except http.CLOSED:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, request: http.Message) -> bytes:
        name = request.headers.get("jujubetiller-request-id", "")
        path = request.first[1]
        headers = {"Jujubetiller-Request-Id": name, "Keep-Alive": "timeout=10"}
        if path == "/healthz":
            return http.encode_answer(200, b"", {"Jujubetiller-Instance-Id": self.name})
        if request.headers.get("jujubetiller-expected-instance", "") != self.name:
            return http.encode_answer(421, b"", headers)
        now = asyncio.get_running_loop().time()
        self.arrivals.append((now, name))
        run = Run(name, now, self.name, self.service, path)
        self.runs.append(run)
        await asyncio.sleep(self.work_s)
        if self.server is None:
            raise ConnectionResetError
        run.is_answered = True
        headers["Jujubetiller-Server-Stamp"] = f"{self.name}.{len(self.runs)}"
        return http.encode_answer(200, f"{self.service} {name}".encode(), headers)
