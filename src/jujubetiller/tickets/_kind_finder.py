"""Lookup of the request kind of a call."""

from collections.abc import Iterable

from jujubetiller.tickets import _request_kind


class KindFinder:
    """Finds the request kind with the longest matching path prefix.

    A lookup costs one dictionary access for each path segment up to the length
    of the longest prefix, whatever the number of kinds.
    """

    def __init__(self, kinds: Iterable[_request_kind.RequestKind]) -> None:
        self.by_method: dict[tuple[str, str], dict[str, _request_kind.RequestKind]] = {}
        self.longest: dict[tuple[str, str], int] = {}
        # Two kinds with the same prefix can come from two tickets. The first
        # name wins, so that all nodes choose the same one.
        for kind in sorted(kinds, key=lambda kind: kind.name):
            scope = (kind.service, kind.method)
            prefix = kind.path_prefix.rstrip("/")
            self.by_method.setdefault(scope, {}).setdefault(prefix, kind)
            self.longest[scope] = max(self.longest.get(scope, 0), len(prefix))

    def find(
        self, service: str, method: str, path: str
    ) -> _request_kind.RequestKind | None:
        """Return the kind of a call; a query in ``path`` is ignored."""
        scope = (service, method)
        by_prefix = self.by_method.get(scope)
        if by_prefix is None:
            return None
        prefix = path.partition("?")[0]
        # Shorten the path to whole segments, no longer than the longest prefix.
        longest = self.longest[scope]
        if len(prefix) > longest:
            prefix = prefix[: longest + 1]
            prefix = prefix[: prefix.rfind("/")] if "/" in prefix else ""
        while True:
            kind = by_prefix.get(prefix)
            if kind is not None:
                return kind
            cut = prefix.rfind("/")
            if cut < 0:
                return None
            prefix = prefix[:cut]
