"""Counters of the streams of a node."""

import collections

import attrs


@attrs.define
class StreamStatistics:
    """Counts since the start of the process."""

    bytes_in: int = 0
    bytes_out: int = 0

    control_bytes_in: int = 0
    control_bytes_out: int = 0
    """The bytes of HELLO, PING, PONG, GOAWAY, DIGEST, PULL and PUSH frames."""

    frames_in: int = 0
    frames_out: int = 0
    calls_sent: int = 0
    calls_received: int = 0
    answers_delivered: int = 0
    streams_opened: int = 0
    streams_accepted: int = 0

    streams_open: int = 0
    """Streams that are currently open, in both directions."""

    calls_under_way: int = 0
    """Outgoing calls that have not ended."""

    refusals: collections.Counter[str] = attrs.Factory(collections.Counter)
    """Refused calls, dropped frames, closed streams and errors, by reason."""
