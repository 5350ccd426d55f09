"""The ``explain`` command."""

import result

from jujubetiller import codes, records
from jujubetiller.command import _output, _settings_file


def explain(record: str, *, settings: str, json: bool = False) -> int:
    """Verify a signed record and say why the request ended as it did.

    :param record: the value of the Jujubetiller-Record header, or - to read it
        from standard input
    :param settings: a settings file whose records.signing_keys verify the record
    :param json: print one JSON object instead of text
    """
    loaded = _settings_file.load_settings_file(settings)
    if isinstance(loaded, result.Err):
        return _output.report(loaded.err_value)
    text = record
    if record == "-":
        content = _output.read_file(record)
        if isinstance(content, result.Err):
            return _output.report(content.err_value)
        text = content.ok_value.decode("ascii", "replace").strip()
    signer = records.RecordSigner(loaded.ok_value.records.signing_keys)
    verified: result.Result[records.CallRecord, codes.Problem] = signer.verify(text)
    if isinstance(verified, result.Err):
        return _output.report(verified.err_value)
    render = records.render_json if json else records.render_text
    print(render(verified.ok_value), end="")
    return _output.OK_STATUS
