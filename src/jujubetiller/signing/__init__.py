"""Signed values as text that is safe in an HTTP header."""

from jujubetiller.signing._tuple_signer import TupleSigner

__all__ = ["TupleSigner"]
