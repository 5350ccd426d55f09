"""What nodes ask and answer each other about tokens."""

import attrs


@attrs.frozen
class Sender:
    """The process that sends questions."""

    host: str
    boot: int
    """Identifies the process on its host."""


@attrs.frozen
class Delegation:
    """A share that the sender of a question lets the receiver use."""

    share: float

    stamp_ms: float
    """The latest time that the receiver named in an answer, on its own clock."""

    stamp_boot: int
    """The process that named it."""

    life_ms: float
    """Time after ``stamp_ms`` for which the share may be used."""


@attrs.frozen
class Demand:
    """What a node asks for one team."""

    team: str

    needed: float
    """Tokens for requests that wait."""

    wanted: float
    """Tokens beyond them for requests to come."""


@attrs.frozen
class Question:
    """A question of a node to a coordinator."""

    sender: str
    boot: int
    """Identifies the sender's process."""

    number: int
    """Increases with each question of the process."""

    version: int
    """Version of the sender's configuration."""

    is_from_zone: bool
    """Whether a coordinator of another zone asks, and no node of the own one."""

    delegation: Delegation | None
    demands: tuple[Demand, ...]


@attrs.frozen
class Grant:
    """Tokens of one team."""

    team: str
    amount: float
    left_ms: float
    """Time that the tokens have left when the answer is sent."""

    wait_ms: float
    """Time until the next token is expected, if too few were granted."""


@attrs.frozen
class Answer:
    """The answer to a question."""

    number: int
    """The number of the question."""

    boot: int
    """Identifies the answering node's process."""

    stamp_ms: float
    """The answering node's boot clock, in ms; the asker returns it with its next
    delegation."""

    version: int
    """Version of the answering node's configuration."""

    grants: tuple[Grant, ...]
