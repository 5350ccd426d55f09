"""The header in which the store numbers its histories."""

import logbook
from twisted.web import http_headers

from jujubetiller import published

HEADER = b"store-era"

_LOG = logbook.Logger("jujubetiller.platform")

_MAX_LOGGED_CHARACTERS = 40


class EpochReader:
    """Reads the epoch from the headers of answers; malformed ones are counted."""

    def __init__(self) -> None:
        self.malformed = 0

    def read(self, headers: http_headers.Headers) -> int | None:
        """Return the epoch that an answer names; ``None`` if it names no valid one."""
        values = headers.getRawHeaders(HEADER)
        if not values:
            return None
        text = values[0].decode("latin-1").strip()
        epoch = _parse_epoch(text) if len(values) == 1 else None
        if epoch is None:
            self.malformed += 1
            _LOG.warning(
                "store epoch rejected: allowed is one whole number up to {}",
                published.MAX_NUMBER,
                extra={"value": text[:_MAX_LOGGED_CHARACTERS]},
            )
        return epoch


def _parse_epoch(text: str) -> int | None:
    if not (text.isascii() and text.isdigit()):
        return None
    # Longer texts are not converted, as that takes time for many digits.
    if len(text) > len(str(published.MAX_NUMBER)):
        return None
    epoch = int(text)
    return epoch if epoch <= published.MAX_NUMBER else None
