"""Writes the tables of docs/configuration.md: ``python -m bench.configuration_page``.

Names, defaults and ranges come from the settings classes, and meanings from the
docstrings below their fields, so that the page always matches the code.
"""

import ast
import inspect
import pathlib
import textwrap
from collections.abc import Iterator
from typing import Any

import attrs

from jujubetiller import settings
from jujubetiller.settings import _fields

PAGE = pathlib.Path(__file__).parents[1] / "docs" / "configuration.md"
BEGIN = "<!-- tables written by python -m bench.configuration_page -->\n"
END = "<!-- end of the tables -->\n"
MESH_BEGIN = "<!-- mesh tables written by python -m bench.configuration_page -->\n"
MESH_END = "<!-- end of the mesh tables -->\n"

MESH_SECTIONS: tuple[tuple[str, type], ...] = (
    ("features", settings.FeatureSettings),
    ("teams", settings.TeamSettings),
    ("quotas", settings.QuotaSettings),
    ("memory", settings.MemorySettings),
    ("connections", settings.ConnectionSettings),
)
"""Sections that only ``jujubetiller mesh`` has and that have tables. ``store`` and
``repeats`` are derived from several fields of the TOML file, which the page lists."""

SOURCES = {
    "features.admission": "`admission` in `JUJUBETILLER_FEATURES`",
    "features.placing": "`placing` in `JUJUBETILLER_FEATURES`",
    "features.target_limit": "`target_limit` in `JUJUBETILLER_FEATURES`",
    "teams.has_strict_revocation": "`bounds.strict_revoke`",
    "teams.revocation_ms": "`bounds.revoke`",
    "teams.configuration_ms": "`bounds.config_apply`",
    "quotas.window_ms": "`bounds.quota_window`",
    "quotas.overshoot": "`bounds.quota_overshoot`",
    "quotas.slack": "`bounds.quota_slack`",
    "memory.limit_mb": "`limits.memory_mb`",
    "connections.max_descriptors": "`limits.max_fds`",
}
"""Where fields of ``MESH_SECTIONS`` come from on the users' platform."""

UNITS_BY_SUFFIX = {
    "_ms": "ms",
    "_bytes": "bytes",
    "_per_second": "1/s",
    "_step": "share/s",
    "_highest": "share",
    "_share": "share",
    "_weight": "share",
    "_mb": "MB",
    "overshoot": "share",
    "slack": "requests",
}

# Meanings of the fields that have no docstring.
MEANINGS = {
    "routing.slow_start_ms": "Time in which a new incarnation's weight grows to full.",
    "routing.spill_highest": "The largest share that goes to other zones.",
    "control.digest_ms": "Pause between two digests to a neighbour.",
    "control.readers_per_zone": "Nodes of a zone that read the platform.",
    "control.max_instances": "Instances that the node remembers.",
    "control.max_objects": "Ticket objects that the node remembers.",
    "keys.epoch_ms": "Time after which the owner starts a new epoch.",
    "keys.keys_per_epoch": "Execution keys that the owner remembers for an epoch.",
    "keys.seal_timeout_ms": "The longest wait for an owner to seal a key.",
    "quotas.overshoot": "Part by which a team may exceed its rate and burst.",
    "quotas.slack": "Requests that a team may have beyond that in a window.",
    "quotas.window_ms": "The window in which the bound holds.",
    "teams.revocation_ms": "The longest use of a key after it was revoked.",
    "limits.lowest_limit": "The limit never goes below.",
    "limits.policy": "How the concurrency limit is found.",
    "limits.queue_length": "Calls that wait for the target.",
    "limits.queue_order": "Which waiting call is next.",
    "records.max_hops": "Hops in a record; further ones are counted.",
    "records.signing_keys": "The first one signs, all of them verify.",
    "retries.backoff_highest_ms": "The longest random wait before a retry.",
    "retries.token_lifetime_ms": "How long a client may present a retry token.",
    "streams.connect_timeout_ms": "The longest wait for a connection to a peer.",
    "streams.heartbeat_ms": "Pause between two heartbeats of a stream.",
    "streams.idle_close_ms": "A stream without calls for this long is closed.",
    "streams.max_body_bytes": "Larger bodies are refused.",
    "streams.max_frame_bytes": "Larger frames close the stream.",
    "streams.max_streams": "Streams that the node holds.",
    "target.connect_timeout_ms": "The longest wait for a connection to the target.",
    "target.max_answer_bytes": "Larger answers are refused as unknown.",
}

ADDRESS_MEANING = "IP number as `host` and TCP port as `port`, 0 to 65535."


def read_docstrings(shape: type) -> dict[str, str]:
    """Return the docstrings below the fields of ``shape``."""
    tree = ast.parse(textwrap.dedent(inspect.getsource(shape)))
    (class_node,) = tree.body
    assert isinstance(class_node, ast.ClassDef)
    found = {}
    for field, below in zip(class_node.body, class_node.body[1:], strict=False):
        if (
            isinstance(field, ast.AnnAssign)
            and isinstance(field.target, ast.Name)
            and isinstance(below, ast.Expr)
            and isinstance(below.value, ast.Constant)
        ):
            found[field.target.id] = " ".join(str(below.value.value).split())
    return found


def find_unit(field: Any) -> str:
    """Return the unit of a field."""
    for suffix, unit in UNITS_BY_SUFFIX.items():
        if field.name.endswith(suffix):
            return unit
    return "count" if field.type is int else ""


def describe_allowed(field: Any) -> str:
    """Return the allowed values of a field."""
    described = field.metadata.get(_fields.ALLOWED)
    if described:
        return str(described)
    if field.validator is _fields.check_name:
        return "1 to 100 printable characters without `/`"
    return {
        bool: "true, false",
        settings.Address: "an address",
        tuple[settings.Address, ...]: "a list of addresses",
        tuple[str, ...]: "a list of texts of at least 16 characters",
    }[field.type]


def describe_default(field: Any) -> str:
    """Return the default of a field."""
    if field.default is attrs.NOTHING:
        return "required"
    if isinstance(field.default, bool):
        return f"`{field.default}`".lower()
    return "`[]`" if field.default == () else f"`{field.default}`"


def list_sections() -> Iterator[tuple[str, type]]:
    """Return the name and the class of every nested object of the settings."""
    for field in attrs.fields(settings.NodeSettings):
        if isinstance(field.type, type) and attrs.has(field.type):
            yield field.name, field.type


def render_section(name: str, shape: type) -> list[str]:
    """Return the lines of a table; ``name`` is empty for the outermost object."""
    meanings = read_docstrings(shape)
    heading = f"`{name}`" if name else "The settings object"
    lines = [
        *("", f"### {heading}", "", inspect.getdoc(shape) or "", ""),
        "| field | default | allowed | unit | meaning |",
        "| --- | --- | --- | --- | --- |",
    ]
    sections = dict(list_sections())
    for field in attrs.fields(shape):
        if not name and field.name in sections:
            continue
        path = f"{name}.{field.name}"
        meaning = meanings.get(field.name) or MEANINGS.get(path, "")
        if field.type is settings.Address and not meaning:
            meaning = ADDRESS_MEANING
        lines.append(
            f"| `{field.name}` | {describe_default(field)} | "
            f"{describe_allowed(field)} | {find_unit(field)} | {meaning} |"
        )
    return lines


def render_tables() -> str:
    """Return all tables."""
    lines = render_section("", settings.NodeSettings)
    for name, shape in list_sections():
        lines += render_section(name, shape)
    return "\n".join(lines) + "\n"


def render_mesh_section(name: str, shape: type) -> list[str]:
    """Return the lines of a table that names where each field comes from."""
    meanings = read_docstrings(shape)
    lines = [
        *("", f"### `{name}` of the mesh", "", inspect.getdoc(shape) or "", ""),
        "| field | comes from | default | allowed | unit | meaning |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for field in attrs.fields(shape):
        path = f"{name}.{field.name}"
        meaning = meanings.get(field.name) or MEANINGS.get(path, "")
        lines.append(
            f"| `{field.name}` | {SOURCES[path]} | {describe_default(field)} | "
            f"{describe_allowed(field)} | {find_unit(field)} | {meaning} |"
        )
    return lines


def render_mesh_tables() -> str:
    """Return the tables of the sections that only the mesh has."""
    lines: list[str] = []
    for name, shape in MESH_SECTIONS:
        lines += render_mesh_section(name, shape)
    return "\n".join(lines) + "\n"


def replace_tables(page: str) -> str:
    """Return ``page`` with its tables replaced by current ones."""
    for begin, tables, end in (
        (BEGIN, render_tables(), END),
        (MESH_BEGIN, render_mesh_tables(), MESH_END),
    ):
        head, _, rest = page.partition(begin)
        _, _, tail = rest.partition(end)
        page = f"{head}{begin}{tables}\n{end}{tail}"
    return page


if __name__ == "__main__":
    PAGE.write_text(replace_tables(PAGE.read_text()))
