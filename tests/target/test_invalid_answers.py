"""Guards against answers without a valid status.

Statuses from 600 were passed on to the caller, and statuses below 200 kept the caller
waiting until its deadline.
"""

import pytest

from jujubetiller import calls, codes, target
from tests.target import test_target_client

_Code = codes.ResultCode
LENGTH = b"Content-Length: 2\r\nX-Id: own\r\n\r\nok"
FINAL = b"HTTP/1.1 200 OK\r\n" + LENGTH
INTERIM = b"HTTP/1.1 %d Early\r\nX-Early: 1\r\n\r\n"
INVALID_STATUSES = (
    *(b"000", b"001", b"099", b"100", b"101", b"102", b"103", b"104", b"150", b"199"),
    *(b"600", b"700", b"999", b"20", b"2", b"2000", b"0200", b"-20", b"2x0", b""),
)


def receive(
    answer: bytes, segment_size: int, method: str = "GET"
) -> test_target_client.Harness:
    """Return the harness of a call whose answer arrived in segments."""
    harness = test_target_client.Harness()
    deadline = calls.Deadline.after(harness.clock, 500.0)
    request = target.TargetRequest(method, "/a", (), b"", deadline, ("x-id", "own"))
    harness.client.send(request, harness.responses.append)
    connection = harness.accept()
    for start in range(0, len(answer), segment_size):
        if harness.responses:
            break
        connection.dataReceived(answer[start : start + segment_size])
    return harness


@pytest.mark.parametrize("segment_size", [1, 10_000])
@pytest.mark.parametrize("method", ["GET", "HEAD"])
@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_an_answer_with_an_invalid_status_ends_the_call_at_once(
    status: bytes, method: str, segment_size: int
) -> None:
    answer = b"HTTP/1.1 " + status + b" Done\r\n" + LENGTH
    harness = receive(answer, segment_size, method)
    assert harness.codes() == [_Code.ANSWER_INCOMPLETE]
    assert harness.client.idle == []


@pytest.mark.parametrize("status", [100, 102, 103, 199])
def test_interim_answers_without_end_end_the_call(status: int) -> None:
    harness = receive(INTERIM % status * 1_000, 100)
    assert harness.codes() == [_Code.ANSWER_INCOMPLETE]


def test_a_change_of_protocol_that_nothing_asked_for_ends_the_call() -> None:
    answer = b"HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n"
    assert receive(answer, 10_000).codes() == [_Code.ANSWER_INCOMPLETE]


@pytest.mark.parametrize("segment_size", [1, 10_000])
@pytest.mark.parametrize(
    "interim",
    [(), (100,), (102,), (103,), (104,), (199,), (100, 102, 103, 150), (102,) * 10],
)
def test_interim_answers_before_a_final_one_stay_valid(
    interim: tuple[int, ...], segment_size: int
) -> None:
    answer = b"".join(INTERIM % status for status in interim) + FINAL
    harness = receive(answer, segment_size)
    (response,) = harness.responses
    assert (response.status, response.body) == (200, b"ok")


@pytest.mark.parametrize("status", [b"200", b"204", b"304", b"421", b"500", b"599"])
def test_every_final_status_is_passed_on(status: bytes) -> None:
    harness = receive(b"HTTP/1.1 " + status + b" Done\r\n" + LENGTH, 10_000)
    (response,) = harness.responses
    assert response.status == int(status)
