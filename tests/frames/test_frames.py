"""Guards against frames that change in transit and invalid frames that are accepted."""

import math
import struct
from typing import Any

import attrs
import hypothesis
import hypothesis.strategies as st
import msgpack
import pytest

from jujubetiller import calls, codes, frames, records

HOP = records.HopRecord("ledger-1", "ledger", "queue", 100, 1.5, 3, 9, 4, 2, 80.0, 7)
REQUEST = calls.CallRequest(
    "ledger", "POST", "/a?b=1", "deposit", 0, 12, False, 812.5, 3, "tree", 2, 1, "key",
    (("content-type", "text/plain"), ("x", "ü")), b"body", "i-1", "team", 250.5, 3.0,
)  # fmt: skip
ANSWER = calls.CallAnswer(
    codes.Outcome.NOT_RUN, codes.ResultCode.QUEUE_FULL, 503, (("a", "b"),), b"body",
    2, 131, "ledger", (HOP, HOP), "key",
)  # fmt: skip
HELLO = frames.Hello(
    3, 3, "ledger-1", "ledger", "puchong", "127.0.0.1", 1, 2, "boot", 3, False, b"d",
    262_144, 65_536, 8_388_608, "17",
)  # fmt: skip
EXAMPLES: list[frames.Frame] = [
    HELLO,
    frames.Call(7, REQUEST, 4, 2**64 - 1),
    frames.Answer(7, ANSWER, 4, 5),
    frames.Answer(7, attrs.evolve(ANSWER, pressure=None, hops=()), 4, 5),
    frames.Answer(
        7,
        attrs.evolve(
            ANSWER,
            room=-3,
            wait_ms=12.5,
            costs=(("ledger", 88.0), ("booth", 15)),
            loads=(("ledger", 0.8),),
        ),
        4,
        5,
    ),
    frames.Data(7, b"part"),
    frames.Cancel(7),
    frames.Credit(7, 100),
    frames.Ping(1),
    frames.Pong(1),
    frames.Goaway(202, True, "DRAINING"),
    frames.Seal(8, "key"),
    frames.Sealed(8, True),
    frames.Digest(b"t" * 16, b"m" * 16, -1, 7),
    frames.Pull("tickets", b"index"),
    frames.Push("tickets", b"objects"),
    frames.Reconcile(9, "17"),
    frames.Reconciled(9, True, 2**63 - 1),
]


def encode(frame: frames.Frame) -> bytes:
    data = frames.FrameEncoder(65_536).encode(frame)
    assert isinstance(data, bytes)
    return data


def wrap(values: Any) -> bytes:
    payload = msgpack.packb(values)
    return struct.pack(">I", len(payload)) + payload


def test_every_type_has_an_example() -> None:
    assert {type(frame) for frame in EXAMPLES} == set(frames.FRAME_CLASSES.values())


@pytest.mark.parametrize("frame", EXAMPLES, ids=lambda frame: frame.NAME)
def test_a_frame_is_decoded_from_chunks_of_any_size(frame: frames.Frame) -> None:
    data = encode(frame) * 2
    for size in (1, 3, 7, len(data)):
        decoder = frames.FrameDecoder(65_536)
        decoded: list[frames.Frame] = []
        for start in range(0, len(data), size):
            part, problem = decoder.feed(data[start : start + size])
            assert problem is None
            decoded += part
        assert decoded == [frame, frame]


@pytest.mark.parametrize(
    ("data_class", "frame", "outside"),
    [
        (calls.CallRequest, frames.Call, {"body", "headers"}),
        (calls.CallAnswer, frames.Answer, {"body", "headers", "hops"}),
    ],
)
def test_every_attribute_of_the_data_class_is_encoded(
    data_class: type, frame: type[frames.Frame], outside: set[str]
) -> None:
    names = {field.name for field in attrs.fields(data_class)}
    on_wire = {name for name, _ in frame.FIELDS}
    assert names <= on_wire
    assert outside <= on_wire


# Most fields reject each of these: wrong type, NaN, too large, negative, too long.
INVALID_VALUES: list[Any] = [
    {},
    math.nan,
    2**64 - 1,
    -(2**63),
    "x" * 40_000,
    [[1]],
    [1, "x"],
]


@pytest.mark.parametrize("frame", EXAMPLES, ids=lambda frame: frame.NAME)
def test_an_invalid_value_is_reported_with_the_name_of_its_field(
    frame: frames.Frame,
) -> None:
    valid = frame.to_fields()
    for index, (name, rule) in enumerate(frame.FIELDS):
        tried = 0
        for value in INVALID_VALUES:
            if rule.allows(value):
                continue
            tried += 1
            fields = [*valid[:index], value, *valid[index + 1 :]]
            decoder = frames.FrameDecoder(65_536)
            decoded, problem = decoder.feed(wrap([frame.TYPE, *fields]))
            assert decoded == []
            assert problem is not None
            assert problem.field == f"{frame.NAME}.{name}"
            assert rule.allowed in problem.message
        assert tried >= 4


def test_an_invalid_value_in_any_field_of_a_hop_is_reported() -> None:
    for field in attrs.fields(records.HopRecord):
        for value in ({}, math.nan, math.inf, -(2**62), "x" * 300):
            hop = attrs.evolve(HOP, **{field.name: value})
            answer = attrs.evolve(ANSWER, hops=(HOP, hop))
            problem = frames.FrameEncoder(65_536).encode(frames.Answer(1, answer, 4, 0))
            assert isinstance(problem, codes.Problem), (field.name, value)
            assert problem.field == "answer.hops"


@pytest.mark.parametrize(
    ("data", "code", "field"),
    [
        (struct.pack(">I", 65_537), "BAD_FRAME", "length"),
        (struct.pack(">I", 2) + b"\xc1\xc1", "BAD_FRAME", "frame"),
        (struct.pack(">I", 2) + b"\x01\x01", "BAD_FRAME", "frame"),
        (struct.pack(">I", 0), "BAD_FRAME", "frame"),
        (wrap({"type": 1}), "BAD_FRAME", "frame"),
        (wrap([]), "BAD_FRAME", "frame"),
        (wrap([True, 1]), "BAD_FRAME", "frame"),
        (wrap([99]), "BAD_FRAME", "type"),
        (wrap([5]), "BAD_FRAME", "cancel"),
        (wrap([5, 1, 1]), "BAD_FRAME", "cancel"),
        (wrap([5, True]), "BAD_FRAME", "cancel.call_id"),
        (wrap([1, 4, 9, "fields of another version"]), "BAD_VERSION", "hello"),
    ],
)
def test_the_decoder_returns_valid_frames_and_stops_at_an_invalid_one(
    data: bytes, code: str, field: str
) -> None:
    decoder = frames.FrameDecoder(65_536)
    ping = encode(frames.Ping(1))
    decoded, problem = decoder.feed(ping + data + ping)
    assert decoded == [frames.Ping(1)]
    assert problem is not None
    assert problem.code.name == code
    assert problem.field.startswith(field)
    assert decoder.feed(ping) == ([], problem)


def test_fields_that_a_later_version_appended_to_hello_are_ignored() -> None:
    data = wrap([1, 3, 5, *HELLO.to_fields()[2:], "new"])
    decoded, problem = frames.FrameDecoder(65_536).feed(data)
    assert problem is None
    assert decoded == [attrs.evolve(HELLO, highest_version=5)]


@pytest.mark.parametrize(
    ("frame", "field"),
    [
        (frames.Ping(-1), "ping.number"),
        (frames.Data(1, b"x" * 65_536), "data"),
        (frames.Call(1, attrs.evolve(REQUEST, path="\ud800"), 4, 0), "call"),
        (frames.Call(1, attrs.evolve(REQUEST, rank=-1), 4, 0), "call.rank"),
    ],
)
def test_the_encoder_rejects_frames_that_the_peer_would_reject(
    frame: frames.Frame, field: str
) -> None:
    encoder = frames.FrameEncoder(65_536)
    problem = encoder.encode(frame)
    assert isinstance(problem, codes.Problem)
    assert problem.field == field
    assert encoder.encode(frames.Ping(1)) == encode(frames.Ping(1))


MSGPACK = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats()
    | st.text(max_size=9) | st.binary(max_size=9),
    lambda inner: st.lists(inner, max_size=9)
    | st.dictionaries(st.text(max_size=3), inner, max_size=3),
)  # fmt: skip


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(st.binary(max_size=60) | MSGPACK.map(msgpack.packb))
def test_no_input_raises(payload: bytes) -> None:
    decoder = frames.FrameDecoder(200)
    decoder.feed(struct.pack(">I", len(payload)) + payload)
