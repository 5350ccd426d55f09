"""Issues retry tokens to clients and redeems them."""

import random

import result

from jujubetiller import clock, codes, settings
from jujubetiller.retries import (
    _retry_ledger,
    _retry_token,
    _retry_token_signer,
    _used_token_table,
)

_FIELD = "Jujubetiller-Retry-Token"

_USED = codes.Problem(
    codes.ResultCode.RETRY_TOKEN_USED,
    _FIELD,
    "allowed is one use of each retry token",
)
_EXPIRED = codes.Problem(
    codes.ResultCode.BAD_RETRY_TOKEN, _FIELD, "allowed are tokens that have not expired"
)
_OTHER_REQUEST = codes.Problem(
    codes.ResultCode.BAD_RETRY_TOKEN,
    _FIELD,
    "allowed are tokens that were given for the same service and request kind",
)


class ClientRetries:
    """Lets a client send a request again with the remaining tokens of its tree.

    The clock reads Unix time, because a token may be presented to another node
    than the one that signed it.
    """

    def __init__(
        self,
        unix_clock: clock.Clock,
        random_source: random.Random,
        retry_settings: settings.RetrySettings,
        signer: _retry_token_signer.RetryTokenSigner,
    ) -> None:
        self.unix_clock = unix_clock
        self.random_source = random_source
        self.retry_settings = retry_settings
        self.signer = signer
        self.used = _used_token_table.UsedTokenTable(unix_clock, retry_settings)

    def issue(
        self,
        ledger: _retry_ledger.RetryLedger,
        tree_id: str,
        service: str,
        kind: str,
        unknown_code: codes.ResultCode | None = None,
        unknown_key: str = "",
    ) -> str:
        """Close the ledger and return a token that carries what remains minus one.

        That one pays for the client's own retry. The text is empty when no
        retry token remains.
        """
        tokens_left = ledger.close()
        if tokens_left <= 0:
            return ""
        lifetime_ms = self.retry_settings.token_lifetime_ms
        return self.signer.mint(
            _retry_token.RetryToken(
                token_id=f"{self.random_source.getrandbits(96):024x}",
                tree_id=tree_id,
                tokens=tokens_left - 1,
                service=service,
                kind=kind,
                expires_at_ms=int(self.unix_clock.now_ms()) + lifetime_ms,
                unknown_code=unknown_code,
                unknown_key=unknown_key,
            )
        )

    def redeem(
        self, text: str, service: str, kind: str
    ) -> result.Result[_retry_token.RetryToken, codes.Problem]:
        """Return the token of ``text``, once, for the same service and kind."""
        verified = self.signer.verify(text)
        if isinstance(verified, result.Err):
            return verified
        token = verified.ok_value
        if (token.service, token.kind) != (service, kind):
            return result.Err(_OTHER_REQUEST)
        if token.expires_at_ms <= self.unix_clock.now_ms():
            return result.Err(_EXPIRED)
        if not self.used.use(token.token_id, token.expires_at_ms):
            return result.Err(_USED)
        return verified
