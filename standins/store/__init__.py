"""A stand-in for the key-value store of the users' platform."""

from standins.store._published_store import PublishedStore

__all__ = ["PublishedStore"]
