"""Signing and verification of client retry tokens."""

from collections.abc import Sequence

import result

from jujubetiller import codes, signing
from jujubetiller.retries import _retry_token

# Fits three names of 100 characters, of at most 4 bytes each, in base64.
_MAX_TEXT_LENGTH = 2_048

_SALT = b"jujubetiller.retry-token"

_UNSIGNED = codes.Problem(
    codes.ResultCode.BAD_RETRY_TOKEN,
    "Jujubetiller-Retry-Token",
    "allowed are retry tokens that a node of this fleet signed",
)


class RetryTokenSigner:
    """Signs and verifies retry tokens.

    The first key signs and all keys verify, so that keys can be rotated.
    """

    def __init__(self, signing_keys: Sequence[str]) -> None:
        self.signer = signing.TupleSigner(signing_keys, _SALT, _MAX_TEXT_LENGTH)

    def mint(self, token: _retry_token.RetryToken) -> str:
        """Return the signed text of ``token``, safe in an HTTP header."""
        unknown_code = -1 if token.unknown_code is None else int(token.unknown_code)
        return self.signer.sign(
            (
                token.token_id,
                token.tree_id,
                token.tokens,
                token.service,
                token.kind,
                token.expires_at_ms,
                unknown_code,
                token.unknown_key,
            )
        )

    def verify(
        self, text: str
    ) -> result.Result[_retry_token.RetryToken, codes.Problem]:
        """Return the token if its signature is valid; the caller checks expiry."""
        fields = self.signer.unsign(text)
        if fields is None:
            return result.Err(_UNSIGNED)
        try:
            *first_fields, code, unknown_key = fields
            token_id, tree_id, tokens, service, kind, expires_at_ms = first_fields
            unknown_code = None if code < 0 else codes.ResultCode(code)
        except (ValueError, TypeError):
            return result.Err(_UNSIGNED)
        return result.Ok(
            _retry_token.RetryToken(
                token_id,
                tree_id,
                tokens,
                service,
                kind,
                expires_at_ms,
                unknown_code,
                unknown_key,
            )
        )
