"""Guards against published items and settings files that make a decoder raise."""

import copy
import json
from typing import Any

import hypothesis
import hypothesis.strategies as st
import result

from jujubetiller import platform, published
from standins.mesh_site import documents

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=12)
    | st.sampled_from(("", "0ms", "-1s", "1e9s", "127.0.0.1:0", "a:99999")),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=4,
)
STEPS = st.lists(st.integers(0, 8), min_size=1, max_size=7)
MANY = hypothesis.settings(derandomize=True, max_examples=400, deadline=None)


def replace_somewhere(document: Any, steps: list[int], value: Any) -> Any:
    """Return a copy of ``document`` with ``value`` at the path given by ``steps``."""
    changed = copy.deepcopy(document)
    holder = changed
    for number, step in enumerate(steps):
        keys = list(holder) if isinstance(holder, dict) else list(range(len(holder)))
        if not keys:
            break
        key = keys[step % len(keys)]
        if number == len(steps) - 1 or not isinstance(holder[key], dict | list):
            holder[key] = value
            break
        holder = holder[key]
    return changed


@MANY
@hypothesis.given(steps=STEPS, value=VALUES)
def test_a_changed_item_is_accepted_or_rejected_with_its_field(
    steps: list[int], value: Any
) -> None:
    decoder = platform.PlatformDecoder()
    for key, document, decode in (
        ("servers/a", documents.INSTANCE, decoder.decode_instance),
        ("op/config", documents.CONFIGURATION, decoder.decode_configuration),
    ):
        text = json.dumps(replace_somewhere(document, steps, value)).encode()
        decoded = decode(published.PublishedItem(key, published.Revision(0, 1), text))
        if isinstance(decoded, result.Err):
            assert decoded.err_value.message


@MANY
@hypothesis.given(text=st.binary(max_size=80))
def test_random_bytes_are_rejected(text: bytes) -> None:
    decoder = platform.PlatformDecoder()
    item = published.PublishedItem("servers/a", published.Revision(0, 1), text)
    assert decoder.decode_instance(item).is_err()
    assert platform.load_settings(text).is_err()


@MANY
@hypothesis.given(
    start=st.integers(0, len(documents.SETTINGS) - 1),
    length=st.integers(0, 12),
    text=st.text(max_size=8),
)
def test_a_changed_settings_file_is_accepted_or_rejected(
    start: int, length: int, text: str
) -> None:
    changed = documents.SETTINGS[:start] + text + documents.SETTINGS[start + length :]
    loaded = platform.load_settings(changed.encode("utf-8", "surrogatepass"))
    if isinstance(loaded, result.Err):
        assert loaded.err_value.message
