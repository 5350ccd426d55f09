"""One connection as the memory account sees it."""

import abc
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jujubetiller.memory import _memory_account


class Kind(enum.Enum):
    """What memory is held for; the values are part of metric labels."""

    READING = "reading"
    """Heads and bodies of requests that are incomplete."""

    REQUESTS = "requests"
    """Complete requests that run."""

    WAITING = "waiting"
    """Complete requests that wait for earlier ones of their connection."""

    ANSWERS = "answers"
    """Answers that a client has not taken."""

    UNREAD = "unread"
    """Bytes that the system holds until a connection that is held back is read."""


class HolderOwner(abc.ABC):
    """A connection that holds memory."""

    @abc.abstractmethod
    def measure(self) -> None:
        """Update the holder."""

    @abc.abstractmethod
    def is_held_back(self) -> bool:
        """Return whether it is not read because of the memory that it holds."""

    @abc.abstractmethod
    def waits_for_client(self) -> bool:
        """Return whether the client has to send or take something."""

    @abc.abstractmethod
    def resume_reading(self) -> None:
        """Read a connection that is held back."""

    @abc.abstractmethod
    def close_for_memory(self) -> None:
        """Release the memory and close the connection."""


class Holder:
    """Counts the memory that is held for one connection."""

    __slots__ = (
        "account",
        "held",
        "held_bytes",
        "is_privileged",
        "owner",
        "progress_ms",
        "since_ms",
    )

    def __init__(
        self, account: "_memory_account.MemoryAccount", owner: HolderOwner
    ) -> None:
        self.account = account
        self.owner: HolderOwner | None = owner
        self.is_privileged = False
        """Whether it is read to its end although it holds much."""

        self.held: dict[Kind, int] = dict.fromkeys(Kind, 0)
        self.held_bytes = 0
        self.since_ms = 0.0
        """Since when memory is held without a pause."""

        self.progress_ms = 0.0
        """When the client last sent or took something."""

    def set(self, kind: Kind, number: int) -> None:
        """Hold ``number`` bytes of ``kind`` from now on."""
        change = number - self.held[kind]
        if change == 0:
            return
        if self.held_bytes == 0:
            self.since_ms = self.progress_ms = self.account.clock.now_ms()
            self.account.holders[self] = None
        self.held[kind] = number
        self.held_bytes += change
        self.account.add(kind, change)
        if self.held_bytes == 0:
            del self.account.holders[self]

    def release(self) -> None:
        """Hold nothing any more; the connection is closed."""
        for kind in Kind:
            self.set(kind, 0)
        self.owner = None

    def record_progress(self) -> None:
        """Record that the client sent or took something."""
        self.progress_ms = self.account.clock.now_ms()
