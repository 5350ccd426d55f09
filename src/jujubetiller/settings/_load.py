"""Loading of the settings file."""

import result

from jujubetiller import codes, schema
from jujubetiller.settings import _node_settings


def load_settings(
    text: str | bytes,
) -> result.Result[_node_settings.NodeSettings, codes.Problem]:
    """Check the JSON ``text`` and return the settings of a node.

    The problem names the first field that is wrong and what is allowed there.
    """
    parsed = schema.parse_json(text, codes.ResultCode.BAD_SETTINGS)
    if isinstance(parsed, result.Err):
        return parsed
    return schema.structure(
        parsed.ok_value, _node_settings.NodeSettings, codes.ResultCode.BAD_SETTINGS
    )
