"""The message in which nodes tell each other of crashes and of trials."""

from typing import Any

import attrs
import msgpack
import result

from jujubetiller import codes
from jujubetiller.crashes import _crash_report

_Report = _crash_report.CrashReport

HIGHEST_FINGERPRINT = 2**64 - 1
MAX_ID_LENGTH = 300
MAX_TRIALS = 256
MAX_REPORTS = 4_096
MAX_RUNNING = 4_096
LONGEST_MS = 1e12


@attrs.frozen
class Trial:
    """A suspect that a node is running apart, or has just run."""

    fingerprint: int

    lasts_ms: float
    """How long other nodes are to leave the suspect to this one; 0 at the end."""


@attrs.frozen
class CrashMessage:
    """What a node beside an instance tells the others of its service."""

    digest: int | None = None
    """Of all reports that the sender knows; ``None`` if they are not to be compared."""

    reports: tuple[_Report, ...] = ()
    trials: tuple[Trial, ...] = ()

    def encode(self, now_ms: float) -> bytes:
        """Return the message; times in it are ages at ``now_ms``."""
        reports = [_encode_report(report, now_ms) for report in self.reports]
        trials = [attrs.astuple(trial) for trial in self.trials]
        return bytes(msgpack.packb([self.digest, reports, trials]))


def decode_message(
    body: bytes, now_ms: float
) -> result.Result[CrashMessage, codes.Problem]:
    """Return the message in ``body``, which was received at ``now_ms``."""
    try:
        digest, reports, trials = msgpack.unpackb(body)
        return result.Ok(
            CrashMessage(
                None if digest is None else _check_fingerprint(digest),
                tuple(
                    _decode_report(row, now_ms)
                    for row in _check_list(reports, MAX_REPORTS)
                ),
                tuple(_decode_trial(row) for row in _check_list(trials, MAX_TRIALS)),
            )
        )
    except (ValueError, TypeError) as error:
        return result.Err(
            codes.Problem(codes.ResultCode.BAD_FRAME, "crashes", str(error)[:160])
        )


def _encode_report(report: _Report, now_ms: float) -> list[Any]:
    return [
        report.crash_id,
        now_ms - report.at_ms,
        list(report.running),
        report.blamed,
        sorted(report.cleared),
    ]


def _decode_report(row: Any, now_ms: float) -> _Report:
    crash_id, age_ms, running, blamed, cleared = row
    if not isinstance(crash_id, str) or not 0 < len(crash_id) <= MAX_ID_LENGTH:
        raise ValueError(f"allowed are ids of up to {MAX_ID_LENGTH} characters")
    return _Report(
        crash_id,
        now_ms - _check_duration_ms(age_ms),
        tuple(_check_fingerprint(each) for each in _check_list(running, MAX_RUNNING)),
        None if blamed is None else _check_fingerprint(blamed),
        frozenset(
            _check_fingerprint(each) for each in _check_list(cleared, MAX_RUNNING)
        ),
    )


def _decode_trial(row: Any) -> Trial:
    fingerprint, lasts_ms = row
    return Trial(_check_fingerprint(fingerprint), _check_duration_ms(lasts_ms))


def _check_fingerprint(value: Any) -> int:
    if type(value) is not int or not 0 <= value <= HIGHEST_FINGERPRINT:
        raise ValueError(f"allowed are 64-bit numbers, got {value!r:.80}")
    return value


def _check_duration_ms(value: Any) -> float:
    if type(value) not in (int, float) or not 0 <= value <= LONGEST_MS:
        raise ValueError(f"allowed are times in milliseconds, got {value!r:.80}")
    return float(value)


def _check_list(value: Any, longest: int) -> list[Any]:
    if type(value) is not list or len(value) > longest:
        raise ValueError(f"allowed are lists of up to {longest} items")
    return value
