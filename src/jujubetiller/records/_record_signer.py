"""Signing and verification of records."""

import hashlib
from collections.abc import Sequence
from typing import Any

import attrs
import itsdangerous
import result

from jujubetiller import codes
from jujubetiller.records import _call_record, _hop_choice, _record_payload

# Proxies and clients commonly reject header lines above 8 KB.
MAX_TEXT_BYTES = 6 * 1024

# A longer path would leave no space for the hops.
MAX_PATH_CHARACTERS = 300

_SALT = "jujubetiller.records"


class RecordSigner:
    """Turns records into signed text for a header, and back.

    The first of ``signing_keys`` signs and all of them verify, so that keys
    can be rotated without invalidating earlier records.
    """

    def __init__(self, signing_keys: Sequence[str], max_hops: int = 40) -> None:
        self.max_hops = max_hops
        self.serializer: Any = itsdangerous.URLSafeSerializer(
            # Reversed because itsdangerous signs with the last key of the list.
            list(reversed(signing_keys)),
            salt=_SALT,
            serializer=_record_payload.RecordPayload(),
            signer_kwargs={"key_derivation": "hmac", "digest_method": hashlib.sha256},
        )

    def sign(self, record: _call_record.CallRecord) -> str:
        """Return the signed text of ``record``, at most ``MAX_TEXT_BYTES`` long.

        Hops beyond ``max_hops`` or beyond the size are left out and counted.
        """
        all_hops = record.hops
        max_kept = min(self.max_hops, len(all_hops))
        while True:
            kept = _hop_choice.choose_hops(all_hops, max_kept)
            fitting = attrs.evolve(
                record,
                path=record.path[:MAX_PATH_CHARACTERS],
                hops=kept,
                hops_left_out=record.hops_left_out + len(all_hops) - len(kept),
            )
            text = self.serializer.dumps(fitting).decode()
            if len(text) <= MAX_TEXT_BYTES or max_kept == 0:
                return text
            max_kept = min(max_kept - 1, max_kept * MAX_TEXT_BYTES // len(text))

    def verify(
        self, text: str
    ) -> result.Result[_call_record.CallRecord, codes.Problem]:
        """Return the record in ``text`` if one of the keys signed it."""
        if len(text) > MAX_TEXT_BYTES:
            return _reject(f"allowed are texts of at most {MAX_TEXT_BYTES} bytes")
        try:
            return result.Ok(self.serializer.loads(text))
        except itsdangerous.BadSignature:
            return _reject(
                "allowed are records signed with one of records.signing_keys; "
                "the record was changed or signed with another key"
            )
        except (itsdangerous.BadData, ValueError, TypeError) as error:
            return _reject(f"the signed content is not a record: {error}")


def _reject(message: str) -> result.Err[codes.Problem]:
    return result.Err(
        codes.Problem(codes.ResultCode.BAD_RECORD, "record", message),
    )
