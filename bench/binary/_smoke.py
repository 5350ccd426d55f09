"""Smoke test of a built program."""

import json
import pathlib
import subprocess

import jujubetiller
from jujubetiller import records

SIGNING_KEY = "key-of-the-smoke-test"
LOOPBACK = {"host": "127.0.0.1", "port": 0}


def write_settings(file: pathlib.Path) -> None:
    """Write valid settings to ``file``."""
    document = {
        "instance": "ledger-1",
        "service": "ledger",
        "zone": "puchong",
        "listen": dict.fromkeys(("edge", "service", "peer", "admin"), LOOPBACK),
        "target": {"address": LOOPBACK},
        "platform": {"address": LOOPBACK},
        "records": {"signing_keys": [SIGNING_KEY]},
    }
    file.write_text(json.dumps(document))


def sign_record() -> str:
    """Return a signed record."""
    record = records.CallRecord(
        *("smoke", "booth", "POST", "/sell", "sale", "booth-1", "not-run", 208),
        took_ms=1.0,
        wall_time="2026-01-01T00:00:00Z",
    )
    return records.RecordSigner([SIGNING_KEY]).sign(record)


def run_smoke_test(command: list[str], settings: pathlib.Path) -> None:
    """Run three commands; raise ``RuntimeError`` if a status or output is wrong."""
    for arguments, expected in (
        (["version"], jujubetiller.__version__),
        (["check-settings", str(settings)], "instance ledger-1"),
        (["explain", sign_record(), "--settings", str(settings)], "208 NOT_READY"),
    ):
        finished = subprocess.run(
            [*command, *arguments], capture_output=True, text=True, timeout=60
        )
        if finished.returncode != 0 or expected not in finished.stdout:
            raise RuntimeError(
                f"{arguments[0]}: status {finished.returncode}, expected {expected!r} "
                f"in {finished.stdout!r}, standard error {finished.stderr[-2000:]!r}"
            )
