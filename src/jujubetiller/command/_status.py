"""The ``status`` command."""

import json as json_module

import attrs
import result

from jujubetiller import admin as admin_module, codes, schema, settings
from jujubetiller.command import _fetch, _output, _status_table

TIMEOUT_SECONDS = 3.0


def parse_address(text: str) -> result.Result[settings.Address, codes.Problem]:
    """Return the address in ``text``, written as HOST:PORT."""
    host, _, port = text.rpartition(":")
    if not port.isdecimal():
        return result.Err(
            codes.Problem(
                codes.ResultCode.BAD_COMMAND,
                "admin",
                f"allowed are addresses like 127.0.0.1:8000, got {text!r}",
            )
        )
    return schema.structure(
        {"host": host.strip("[]"), "port": int(port)},
        settings.Address,
        codes.ResultCode.BAD_COMMAND,
        "admin",
    )


def status(*, admin: str, json: bool = False) -> int:
    """Show the state of a running node.

    :param admin: HOST:PORT of the node's admin listener
    :param json: print the node's view as one JSON object instead of a table
    """
    address = parse_address(admin)
    if isinstance(address, result.Err):
        return _output.report(address.err_value)
    fetched = _fetch.fetch(address.ok_value, "/view", TIMEOUT_SECONDS)
    if isinstance(fetched, result.Err):
        return _output.report(fetched.err_value)
    view = parse_view(fetched.ok_value)
    if isinstance(view, result.Err):
        return _output.report(view.err_value)
    if json:
        print(json_module.dumps(attrs.asdict(view.ok_value), indent=2))
    else:
        print(_status_table.render_status(view.ok_value), end="")
    return _output.OK_STATUS


def parse_view(body: bytes) -> result.Result[admin_module.NodeView, codes.Problem]:
    """Return the view in ``body``."""
    parsed = schema.parse_json(body, codes.ResultCode.BAD_REQUEST)
    if isinstance(parsed, result.Err):
        return parsed
    return schema.structure(
        parsed.ok_value, admin_module.NodeView, codes.ResultCode.BAD_REQUEST, "view"
    )
