"""A listing of the store, page by page."""

from jujubetiller import published
from jujubetiller.platform import _store_answer


class Listing:
    """Collects the pages of one listing, which are no snapshot.

    The listing counts as of the lowest revision of its pages: a watch from there brings
    what changed while they were read.
    """

    def __init__(self) -> None:
        self.query = {"prefix": ""}
        """The query of the next page."""

        self.items: list[published.PublishedItem] = []
        self.bad_rows = 0
        self.revision = published.Revision()
        self.has_pages = False
        self.is_whole = False

    def add(self, answer: _store_answer.StoreAnswer) -> str | None:
        """Add a page; return why the listing can't be used, or None.

        Raises ``FieldError`` or ``ValueError`` for a page that is not valid.
        """
        if answer.status != _store_answer.OK:
            return str(answer.status)
        rows = answer.read_items("items")
        self.bad_rows += rows.log_problems()
        self.items += rows.items
        as_of = answer.read_revision()
        self.revision = min(self.revision, as_of) if self.has_pages else as_of
        self.has_pages = True
        if as_of.epoch != self.revision.epoch:
            return (
                "its pages are from two histories of the store, which was restored "
                "meanwhile"
            )
        self.is_whole = not answer.page.get("truncated") or not rows.last_key
        self.query["after"] = rows.last_key
        return None
