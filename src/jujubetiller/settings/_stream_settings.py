"""Settings of the streams between nodes."""

import attrs

from jujubetiller.settings import _fields


@attrs.frozen
class StreamSettings:
    """Bounds and timing of the streams between nodes."""

    max_frame_bytes: int = _fields.whole_number(65_536, 4_096, 1_048_576)

    data_frame_bytes: int = _fields.whole_number(16_384, 1_024, 1_048_576)
    """Larger bodies are cut into frames of this size."""

    call_window_bytes: int = _fields.whole_number(262_144, 4_096, 16_777_216)
    """Body bytes of one call that may be sent before more credit arrives."""

    max_body_bytes: int = _fields.whole_number(8_388_608, 1_024, 1_073_741_824)

    max_partial_body_bytes: int = _fields.whole_number(67_108_864, 1_024, 2**36)
    """Sum of the announced lengths of all bodies that are arriving in parts."""

    max_unsent_bytes: int = _fields.whole_number(4_194_304, 4_096, 2**36)
    """Bytes that may wait until the transport accepts more."""

    max_calls: int = _fields.whole_number(4_096, 1, 1_000_000)
    """Calls under way on one stream."""

    max_streams: int = _fields.whole_number(768, 1, 100_000)

    connect_timeout_ms: int = _fields.whole_number(500, 10, 60_000)

    reconnect_wait_ms: int = _fields.whole_number(50, 0, 60_000)
    """Calls to a peer that could not be reached are refused for this long."""

    heartbeat_ms: int = _fields.whole_number(500, 50, 60_000)

    silent_after_ms: int = _fields.whole_number(1_500, 100, 120_000)
    """A stream without a received byte for this long is closed."""

    idle_close_ms: int = _fields.whole_number(60_000, 1_000, 3_600_000)
