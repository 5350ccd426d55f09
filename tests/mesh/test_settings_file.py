"""Guards against changed settings that are missed and invalid ones that are applied."""

import pathlib

from twisted.internet import task

from jujubetiller import platform, settings
from jujubetiller.mesh import _settings_file
from standins.mesh_site import documents
from tests.mesh import local_mesh

MOVED = documents.SETTINGS.replace("127.0.0.1:8301", "127.0.0.1:9301")


def poll_settings(path: pathlib.Path) -> tuple[task.Clock, list[settings.MeshSettings]]:
    path.write_text(documents.SETTINGS)
    reactor = task.Clock()
    loaded_settings: list[settings.MeshSettings] = []
    file = _settings_file.SettingsFile(
        reactor, path, platform.load_settings, loaded_settings.append
    )
    file.start()
    return reactor, loaded_settings


def test_a_change_is_applied_without_a_signal(tmp_path: pathlib.Path) -> None:
    reactor, loaded_settings = poll_settings(tmp_path / "node.toml")
    reactor.advance(1.0)
    assert loaded_settings == []
    (tmp_path / "node.toml").write_text(MOVED)
    reactor.advance(1.0)
    reactor.advance(1.0)
    assert [loaded.target.address.port for loaded in loaded_settings] == [9301]


def test_bad_settings_change_nothing(tmp_path: pathlib.Path) -> None:
    reactor, loaded_settings = poll_settings(tmp_path / "node.toml")
    (tmp_path / "node.toml").write_text("node_id = 5")
    reactor.advance(1.0)
    (tmp_path / "node.toml").unlink()
    reactor.advance(1.0)
    assert loaded_settings == []


def test_a_node_applies_a_new_address_of_its_instance() -> None:
    node = local_mesh.LocalMesh()
    node.node.reload(platform.load_settings(MOVED.encode()).unwrap())
    node.list_instance("moved", service="ledger", address="127.0.0.1:9301")
    assert node.parts.directory.own is not None
    assert node.parts.directory.own.instance == "moved"
