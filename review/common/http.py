"""A small reader and writer of HTTP/1.1 messages for the stand-ins."""

import asyncio
import dataclasses


@dataclasses.dataclass
class Message:
    """The head and the body of one message."""

    start_line: str
    headers: dict[str, str]
    """Values by lower-case name."""

    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the start line and the headers; raises ``IncompleteReadError``."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Return a whole message with a length; raises ``IncompleteReadError``."""
    start_line, headers = await read_head(reader)
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Message(start_line, headers, body)


def encode(start_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message; its length is added."""
    lines = [start_line]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
