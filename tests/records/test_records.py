"""Guards against records that can be forged, do not fit or name the wrong hop."""

import json
import random

import attrs
import hypothesis
import pytest
import result
from hypothesis import strategies

from jujubetiller import codes, records

OLD, NEW = "old-key-old-key-", "new-key-new-key-"

RECORD = records.CallRecord(
    tree_id="t1",
    service="booth",
    method="POST",
    path="/sell",
    kind="booth-sale",
    entry_instance="booth-1",
    outcome="answered",
    code=0,
    took_ms=100.0,
    wall_time="2026-01-02T03:04:05Z",
)


def hop(name: str, depth: int, run_ms: float, **more: object) -> records.HopRecord:
    return records.HopRecord(
        instance=name, service=name[:-2], depth=depth, run_ms=run_ms, **more
    )


def passes(signer: records.RecordSigner, text: str) -> bool:
    return isinstance(signer.verify(text), result.Ok)


@pytest.mark.parametrize(
    ("signing", "verifying", "accepted"),
    [
        ([OLD], [OLD], True),
        ([OLD], [OLD, NEW], True),
        ([OLD, NEW], [OLD], True),
        ([OLD, NEW], [NEW, OLD], True),
        ([NEW, OLD], [OLD, NEW], True),
        ([NEW, OLD], [NEW], True),
        ([OLD], [NEW], False),
        ([NEW, OLD], [OLD], False),
    ],
)
def test_records_verify_while_signing_keys_are_rotated(
    signing: list[str], verifying: list[str], accepted: bool
) -> None:
    text = records.RecordSigner(signing).sign(RECORD)
    assert passes(records.RecordSigner(verifying), text) is accepted


def test_a_changed_or_foreign_text_is_rejected_with_a_code() -> None:
    signer = records.RecordSigner([NEW])
    text = signer.sign(RECORD)
    foreign = signer.serializer.dumps([1, [], []])
    for changed in (text[:-1], "A" + text, "", text * 99, foreign, "é"):
        rejected = signer.verify(changed)
        assert isinstance(rejected, result.Err), changed
        assert rejected.err_value.code is codes.ResultCode.BAD_RECORD


HOPS = strategies.builds(
    records.HopRecord,
    instance=strategies.text(max_size=100),
    service=strategies.text(max_size=100),
    rule=strategies.text(max_size=20),
    code=strategies.sampled_from(sorted(codes.ResultCode)).map(int),
    run_ms=strategies.integers(0, 10**9).map(lambda number: number / 1000),
    depth=strategies.integers(0, 17),
)


@hypothesis.settings(derandomize=True, max_examples=50, deadline=None)
@hypothesis.given(hops=strategies.lists(HOPS, max_size=60), path=strategies.text())
def test_a_record_fits_a_header_and_keeps_its_facts(
    hops: list[records.HopRecord], path: str
) -> None:
    signer = records.RecordSigner([NEW], max_hops=40)
    text = signer.sign(attrs.evolve(RECORD, hops=tuple(hops), path=path * 100))
    assert len(text) <= records.MAX_TEXT_BYTES
    assert text.isascii()
    verified = signer.verify(text).unwrap()
    assert len(verified.hops) + verified.hops_left_out == len(hops)
    assert len(verified.hops) <= 40
    assert set(verified.hops) <= set(hops)
    assert (verified.tree_id, verified.took_ms) == ("t1", 100.0)


def test_hops_that_do_not_compress_are_left_out_to_fit_a_header() -> None:
    generator = random.Random(1)
    hops = [
        hop(generator.randbytes(50).hex(), 0, generator.random(), rule="run", code=0)
        for _ in range(120)
    ]
    signer = records.RecordSigner([NEW], max_hops=120)
    text = signer.sign(attrs.evolve(RECORD, hops=tuple(hops)))
    assert len(text) <= records.MAX_TEXT_BYTES
    assert 0 < signer.verify(text).unwrap().hops_left_out < 120


def test_the_refusal_stays_when_hops_are_left_out() -> None:
    hops = [hop(f"b-{number}", 0, 50.0, rule="run", code=0) for number in range(9)]
    refused = hop("ledger-1", 3, 0.0, rule="queue", code=100)
    signer = records.RecordSigner([NEW], max_hops=2)
    kept = signer.verify(
        signer.sign(attrs.evolve(RECORD, hops=(*hops, refused)))
    ).unwrap()
    assert kept.hops == (hops[0], refused)
    assert kept.hops_left_out == 8


@pytest.mark.parametrize(
    ("code", "hops", "words"),
    [
        (208, (), ["entry node booth-1", "208 NOT_READY"]),
        (
            100,
            (
                hop("booth-1", 0, 9.0, rule="answer", code=100),
                hop("ledger-1", 1, 0.0, rule="queue", code=100, limit=7),
            ),
            ['ledger-1 (ledger) ended the call by the rule "queue"', "limit 7"],
        ),
        (
            0,
            (
                hop("booth-1", 0, 95.0, rule="run", code=0),
                hop("ledger-1", 1, 20.0, rule="run", code=0, wait_ms=60.0),
                hop("tracker-1", 1, 5.0, rule="run", code=0),
            ),
            ["ledger-1 (ledger) took the largest part", "60.0 ms in the queue"],
        ),
        (
            0,
            (
                hop("booth-1", 0, 95.0, rule="run", code=0),
                hop("ledger-1", 1, 20.0, rule="run", code=0),
            ),
            ["booth-1 (booth) took the largest part", "75.0 ms at the target"],
        ),
        (
            100,
            (
                hop("entry-1", 0, 0.0, rule="entry", code=100),
                hop("ledger-1", 0, 0.0, rule="queue", code=100),
                hop("ledger-2", 0, 0.0, rule="pressure", code=100),
            ),
            ['ledger-2 (ledger) ended the call by the rule "pressure"'],
        ),
        (
            0,
            (hop("booth-1", 0, 30.0, rule="run", code=0),),
            ["70.0 ms of 100.0 ms passed between nodes", "booth-1"],
        ),
        (999, (), ["999 (not known to this version)"]),
    ],
)
def test_the_conclusion_names_the_hop_that_decided(
    code: int, hops: tuple[records.HopRecord, ...], words: list[str]
) -> None:
    record = attrs.evolve(RECORD, code=code, hops=hops, hops_left_out=3)
    text = records.render_text(record)
    conclusion = json.loads(records.render_json(record))["conclusion"]
    assert text.splitlines()[-1] == f"Conclusion: {conclusion}"
    assert all(word in conclusion for word in words)
    assert len(text.splitlines()) == 5 + len(hops)
