"""A stand-in for the store of the users' platform."""

from standins.store._published_store import PublishedStore

__all__ = ["PublishedStore"]
