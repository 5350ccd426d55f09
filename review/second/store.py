"""The platform's store, as PROTOCOL.md describes it for reading."""

import asyncio
import base64
import json
from typing import Any
from urllib import parse

from review.second import http


class Store:
    """Holds items, answers reads and keeps watches waiting for events."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.changed = asyncio.Event()
        self.servers: dict[str, asyncio.Server] = {}
        self.writers: dict[str, set[asyncio.StreamWriter]] = {}
        self.reads: list[str] = []

    async def listen(self, host: str, port: int) -> None:
        """Serve at an address."""
        address = f"{host}:{port}"
        self.writers[address] = set()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            self.writers[address].add(writer)
            try:
                await self._serve(reader, writer)
            except http.CLOSED:
                pass
            finally:
                self.writers[address].discard(writer)
                writer.close()

        self.servers[address] = await asyncio.start_server(serve, host, port)

    def leave(self, address: str) -> None:
        """Serve at an address no more."""
        self.servers.pop(address).close()
        for writer in tuple(self.writers[address]):
            writer.transport.abort()

    def close(self) -> None:
        """Stop serving."""
        for address in tuple(self.servers):
            self.leave(address)

    def put(self, key: str, document: Any) -> float:
        """Write an item and return the time of the ack."""
        self.revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self.items[key] = item
        return self._record(item)

    def remove(self, key: str) -> float:
        """Remove an item and return the time of the ack."""
        self.revision += 1
        del self.items[key]
        return self._record({"key": key, "revision": self.revision, "tombstone": True})

    def _record(self, event: dict[str, Any]) -> float:
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()
        return asyncio.get_running_loop().time()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            request = await http.read_message(reader)
            path, _, text = request.first[1].partition("?")
            query = dict(parse.parse_qsl(text, keep_blank_values=True))
            self.reads.append(path)
            status, answer = 404, None
            if path == "/kv-range":
                status, answer = 200, self._list(query)
            elif path == "/kv-watch":
                status, answer = 200, await self._watch(query)
            body = json.dumps(answer).encode()
            kind = {"Content-Type": "application/json"}
            writer.write(http.encode_answer(status, body, kind))
            await writer.drain()

    def _list(self, query: dict[str, str]) -> dict[str, Any]:
        found = [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(query.get("prefix", "")) and key > query.get("after", "")
        ]
        return {"items": found, "truncated": False, "as_of": self.revision}

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + int(query["wait_ms"]) / 1000.0
        after, prefix = int(query["after"]), query.get("prefix", "")
        while True:
            changed = self.changed
            events = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = ends_at - loop.time()
            if events or left <= 0:
                return {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue
