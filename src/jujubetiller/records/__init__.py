"""Records that explain slow and refused answers."""

from jujubetiller.records._call_record import CallRecord
from jujubetiller.records._conclusion import find_decisive_hop, write_conclusion
from jujubetiller.records._hop_record import HopRecord
from jujubetiller.records._record_signer import MAX_TEXT_BYTES, RecordSigner
from jujubetiller.records._render import render_json, render_text

__all__ = [
    "MAX_TEXT_BYTES",
    "CallRecord",
    "HopRecord",
    "RecordSigner",
    "find_decisive_hop",
    "render_json",
    "render_text",
    "write_conclusion",
]
