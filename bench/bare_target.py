"""A target that answers every request at once: ``python -m bench.bare_target``.

The timers and counters of the stand-in target make its response times vary, which
would hide the short times that are measured here.
"""

from typing import Any

from twisted.web import http

from standins import process

ANSWER = b'{"answer": "0123456789012345678901234567890123456789"}'


class BareRequest(http.Request):
    """Answers at once."""

    def process(self) -> None:
        """Write the whole answer."""
        request: Any = self  # twisted.web has few annotations.
        request.setHeader(b"content-type", b"application/json")
        request.setHeader(b"content-length", b"%d" % len(ANSWER))
        request.write(ANSWER)
        request.finish()


class BareChannel(http.HTTPChannel):
    """A connection whose requests are answered at once."""

    requestFactory = BareRequest


class BareFactory(http.HTTPFactory):
    """Accepts connections and writes no log."""

    def buildProtocol(self, addr: Any) -> Any:
        """Return a channel."""
        channel: Any = BareChannel()  # type: ignore[no-untyped-call]
        channel.factory = self
        return channel


if __name__ == "__main__":
    process.run({"http": process.listen(BareFactory())})
