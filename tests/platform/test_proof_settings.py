"""Guards against reads of the store that nothing needs, and against missing ones."""

import pytest

from jujubetiller import platform, settings
from standins.mesh_site import documents


def load(bounds: str) -> settings.MeshSettings:
    text = documents.SETTINGS.replace("[bounds]", f"[bounds]\n{bounds}")
    return platform.load_settings(text.encode()).unwrap()


@pytest.mark.parametrize(
    ("bounds", "proves"),
    [
        ("", False),
        ("strict_revoke = false", False),
        ("strict_revoke = true", True),
        ('quota_window = "5s"', True),
        ('revoke = "5s"\nconfig_apply = "2.5s"', False),
    ],
)
def test_proofs_are_asked_for_only_where_a_bound_depends_on_them(
    bounds: str, proves: bool
) -> None:
    store = load(bounds).store
    assert (store.proof_interval_ms is not None) == proves


@pytest.mark.parametrize(("interval_ms", "is_valid"), [(None, True), (99, False)])
def test_an_interval_out_of_range_is_rejected(
    interval_ms: int | None, is_valid: bool
) -> None:
    address = settings.Address("127.0.0.9", 80)
    try:
        settings.StoreSettings(address, proof_interval_ms=interval_ms)
    except ValueError:
        assert not is_valid
    else:
        assert is_valid
