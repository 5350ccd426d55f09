"""The choice of the nodes that read the store for the others of their zone."""

from jujubetiller.readers._question_pacing import QuestionPacing
from jujubetiller.readers._reader_choice import READERS_PER_ZONE, ReaderChoice
from jujubetiller.readers._rendezvous import order_by_rendezvous, weigh

__all__ = [
    "QuestionPacing",
    "READERS_PER_ZONE",
    "ReaderChoice",
    "order_by_rendezvous",
    "weigh",
]
