"""The rules that several frame types share."""

from jujubetiller.frames import (
    _flag,
    _octets,
    _optional_real_number,
    _real_number,
    _text,
    _whole_number,
)

CALL_ID = _whole_number.WholeNumber(1, 2**63 - 1)
LAST_CALL_ID = _whole_number.WholeNumber(0, 2**63 - 1)
COUNT = _whole_number.WholeNumber(0, 2**53)
BODY_LENGTH = _whole_number.WholeNumber(0, 2**30)
CHECKSUM = _whole_number.WholeNumber(0, 2**64 - 1)
MILLISECONDS = _real_number.RealNumber(0, 1e12)
OPTIONAL_MILLISECONDS = _optional_real_number.OptionalRealNumber(0, 1e12)
AGE_MS = _real_number.RealNumber(-1, 1e12)
RATE_PER_S = _optional_real_number.OptionalRealNumber(0, 1e9)
SHARE = _real_number.RealNumber(0, 1e3)
NAME = _text.Text(256)
KEY = _text.Text(2_600)
FLAG = _flag.Flag()
# The frame size limits payloads; this bound is above any frame size.
PAYLOAD = _octets.Octets(2**30)
DIGEST = _octets.Octets(64)
