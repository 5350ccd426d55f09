"""Guards against commands that accept bad input or hide why a check failed."""

import copy
import io
import json
import pathlib
import subprocess
import sys
from typing import Any

import pytest

from jujubetiller import command, records
from jujubetiller.command import _status, _status_table
from tests.admin import fixed_view
from tests.settings import documents

SIGNED = records.RecordSigner(documents.SIGNING_KEYS).sign(
    records.CallRecord(
        *("t1", "booth", "POST", "/sell", "sale", "booth-1", "not-run", 208),
        took_ms=1.0,
        wall_time="2026-01-02T03:04:05Z",
    )
)


@pytest.fixture
def settings_file(tmp_path: pathlib.Path) -> str:
    file = tmp_path / "settings.json"
    file.write_text(json.dumps(documents.VALID))
    return str(file)


def test_check_settings_names_the_field_and_the_number(
    tmp_path: pathlib.Path, settings_file: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert command.run(["check-settings", settings_file]) == 0
    assert "instance ledger-1" in capsys.readouterr().out
    wrong = copy.deepcopy(documents.VALID) | {"limits": {"slots": 0}}
    file = tmp_path / "wrong.json"
    file.write_text(json.dumps(wrong))
    assert command.run(["check-settings", str(file)]) == 1
    assert "[400 BAD_SETTINGS] limits.slots" in capsys.readouterr().err
    assert command.run(["node", "--settings", str(file)]) == 1


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["no-such-command"],
        ["check-settings"],
        ["check-settings", "no-such-file"],
        ["explain", "record"],
        ["status", "--admin", "localhost"],
        ["status", "--admin", "localhost:80"],
        ["status", "--admin", "127.0.0.1:99999"],
    ],
)
def test_a_wrong_command_line_has_status_2_and_a_number(
    arguments: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert command.run(arguments) == 2
    assert "[411 BAD_COMMAND]" in capsys.readouterr().err


def test_explain_reads_arguments_and_standard_input(
    settings_file: str,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert command.run(["explain", SIGNED, "--settings", settings_file]) == 0
    assert "208 NOT_READY" in capsys.readouterr().out
    stream = io.TextIOWrapper(io.BytesIO(f"{SIGNED}\n".encode()))
    monkeypatch.setattr(sys, "stdin", stream)
    assert command.run(["explain", "-", "--settings", settings_file, "--json"]) == 0
    assert json.loads(capsys.readouterr().out)["code"] == 208
    assert command.run(["explain", SIGNED[:-2], "--settings", settings_file]) == 1
    assert "[412 BAD_RECORD]" in capsys.readouterr().err


def test_the_status_table_counts_instances_and_shows_stale_facts() -> None:
    lines = _status_table.render_status(fixed_view.FixedView().node_view()).split("\n")
    for words in (
        "platform   heard 90.0 s ago",
        "ticket     42 in force",
        "conflicts  1",
        "limit      7 of 25 slots (gradient), 6 in flight, 5 queued",
        "ledger   puchong        1         0        1            0",
    ):
        assert words in lines


def run_status(port: int, *more: str) -> subprocess.CompletedProcess[str]:
    arguments = ["status", "--admin", f"127.0.0.1:{port}", *more]
    return subprocess.run(
        [sys.executable, "-m", "jujubetiller", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
    )


SERVER = """
import sys
from twisted.internet import reactor
from jujubetiller import admin
from tests.admin import fixed_view
factory = admin.make_admin_site(fixed_view.FixedView())
if sys.argv[1] == "silent":
    from twisted.internet import protocol
    factory = protocol.Factory.forProtocol(protocol.Protocol)
print(reactor.listenTCP(0, factory, interface="127.0.0.1").getHost().port, flush=True)
reactor.callLater(60, reactor.stop)
reactor.run()
"""


@pytest.mark.parametrize(
    ("mode", "status", "words"),
    [("answering", 0, '"ticket_number": 42'), ("silent", 1, "[205 PEER_UNREACHABLE]")],
)
def test_status_asks_a_running_node(mode: str, status: int, words: str) -> None:
    with subprocess.Popen(
        [sys.executable, "-c", SERVER, mode], stdout=subprocess.PIPE, text=True
    ) as server:
        assert server.stdout is not None
        finished = run_status(int(server.stdout.readline()), "--json")
        server.terminate()
    assert (finished.returncode, words in finished.stdout + finished.stderr) == (
        status,
        True,
    )


def test_a_view_of_another_version_is_a_problem() -> None:
    view: Any = _status.parse_view(b'{"version": "9"}')
    assert "[402 BAD_REQUEST]" in str(view.err_value)
