"""Guards against platform settings that a check accepts and a node refuses."""

import os
import pathlib
import signal
import subprocess
import sys

import pytest

from jujubetiller import command
from standins.mesh_site import documents


def test_settings_of_the_platform_are_checked(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "node.toml"
    path.write_text(documents.SETTINGS)
    assert command.run(["check-settings", str(path)]) == 0
    assert "valid: node sidecar-a-1 of service ledger" in capsys.readouterr().out


def test_wrong_settings_of_the_platform_are_named(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "node.toml"
    path.write_text(documents.SETTINGS.replace("zone =", "zones ="))
    assert command.run(["check-settings", str(path)]) == 1
    assert "[400 BAD_SETTINGS] zone:" in capsys.readouterr().err


def test_a_node_without_settings_says_what_is_missing(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.delenv("JUJUBETILLER_CONFIG", raising=False)
    assert command.run(["mesh"]) == 2
    assert "[411 BAD_COMMAND] settings:" in capsys.readouterr().err


def test_a_signal_during_the_start_does_not_end_the_node(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a node that a change of its settings file kills while it starts.

    Seed 4 of the soak: a node that had just been started ended with SIGHUP.
    """
    settings = tmp_path / "node.toml"
    os.mkfifo(settings)
    process = subprocess.Popen(
        [sys.executable, "-m", "jujubetiller", "mesh"],
        env={
            **os.environ,
            "JUJUBETILLER_CONFIG": str(settings),
            "PYTHONPATH": os.pathsep.join(sys.path) or ".",
        },
        stderr=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
    )
    # Opening waits until the process reads its settings.
    with settings.open("wb") as pipe:
        process.send_signal(signal.SIGHUP)
        pipe.write(b"no settings")
    assert process.wait(20) == 1
