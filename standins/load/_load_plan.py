"""The configuration of a load driver."""

import attrs

from jujubetiller import schema, settings

RETRY_MODES = ("none", "hard", "token")


def _check_retry_mode(instance: object, attribute: object, value: str) -> None:
    if value not in RETRY_MODES:
        raise schema.FieldError(
            "retry_mode", f"allowed are {', '.join(RETRY_MODES)}, got {value!r}"
        )


@attrs.frozen
class LoadKind:
    """A kind of request, sent at a rate that doesn't depend on the answers."""

    name: str
    service: str
    path: str

    rate: float
    """Requests per second in a phase with the factor 1."""

    method: str = "POST"
    deadline_ms: int = 1_000
    body_bytes: int = 64

    retries: int = 0
    """Retries after an answer that is not good."""

    retry_mode: str = attrs.field(default="none", validator=_check_retry_mode)
    """``hard`` sends the same request again; ``token`` retries only with the
    retry token and the key of the last answer."""


@attrs.frozen
class LoadPhase:
    """A part of the run in which all rates are multiplied by ``factor``."""

    duration_ms: int
    factor: float = 1.0


@attrs.frozen
class LoadPlan:
    """The arguments of a load driver."""

    entries: tuple[settings.Address, ...]
    kinds: tuple[LoadKind, ...]
    phases: tuple[LoadPhase, ...]

    name: str = "load"
    """Prefix of every marker, so that several drivers can share a target."""

    seed: int = 1
    bin_ms: int = 500
    """Width of the bins of the timeline."""

    grace_ms: int = 250
    """How long after its deadline a request waits for an answer."""

    max_outstanding: int = 4_000
    """Arrivals above this number are counted as ``not_sent`` and dropped."""

    report_markers: int = 0
    """Maximum number of requests listed with their attempts in the summary."""

    report_records: int = 3
    """Maximum number of signed records in the summary, for each kind."""
