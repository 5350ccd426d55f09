"""A stand-in for the platform's store, which nodes only read."""

import asyncio
import base64
import contextlib
import json
from typing import Any
from urllib import parse

from common import http

ANSWER_S = 0.004
"""The time that the store takes for an answer."""

PAGE_ITEMS = 500


class _Connection:
    """One connection of a reader; a silent one returns nothing further."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.silent = False


class Store:
    """Holds items under one revision counter and answers reads and watches."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.revision = 100
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.changed = asyncio.Condition()
        self.connections: set[_Connection] = set()
        self.watching = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Open the listener."""
        self.server = await asyncio.start_server(self._serve, self.host, self.port)

    async def put(self, key: str, document: dict[str, Any]) -> None:
        """Write an item; its acknowledgement is the return."""
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        value = base64.b64encode(json.dumps(document).encode()).decode()
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self.items[key] = item
        await self._add_event(item)

    async def delete(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        self.items.pop(key, None)
        event = {"key": key, "revision": self.revision, "tombstone": True}
        await self._add_event(event)

    def silence_connections(self) -> int:
        """Let the open connections go silent, without a reset; new ones work."""
        for connection in self.connections:
            connection.silent = True
        return len(self.connections)

    async def _add_event(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        async with self.changed:
            self.changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _Connection(writer)
        self.connections.add(connection)
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while True:
                message = await http.read_message(reader)
                status, document = await self._answer(message.start_line.split()[1])
                if connection.silent:
                    # Kept open: the peer sees neither bytes nor a reset.
                    await reader.read()
                    break
                body = json.dumps(document).encode()
                head = {"Content-Type": "application/json"}
                writer.write(http.encode(f"HTTP/1.1 {status} Answer", head, body))
                await writer.drain()
        self.connections.discard(connection)
        writer.close()

    async def _answer(self, target: str) -> tuple[int, dict[str, Any]]:
        await asyncio.sleep(ANSWER_S)
        path, _, text = target.partition("?")
        query = dict(parse.parse_qsl(text, keep_blank_values=True))
        prefix = query.get("prefix", "")
        if path == "/kv-range":
            return 200, self._list(prefix, query.get("after", ""))
        if path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            return (404, {}) if item is None else (200, {**item, **self._as_of()})
        if path == "/kv-watch":
            wait_s = int(query["wait_ms"]) / 1000
            return 200, await self._watch(prefix, int(query["after"]), wait_s)
        return 404, {}

    def _as_of(self) -> dict[str, int]:
        return {"as_of": self.revision}

    def _list(self, prefix: str, after: str) -> dict[str, Any]:
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return {"items": page, "truncated": len(keys) > PAGE_ITEMS, **self._as_of()}

    def _find_events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self.history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]

    async def _watch(self, prefix: str, after: int, wait_s: float) -> dict[str, Any]:
        self.watching += 1
        try:
            async with self.changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(
                        self.changed.wait_for(lambda: self._find_events(prefix, after)),
                        wait_s,
                    )
        finally:
            self.watching -= 1
        return {"events": self._find_events(prefix, after), **self._as_of()}
