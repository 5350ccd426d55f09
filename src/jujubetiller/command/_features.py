"""The choice of features in an environment variable."""

from collections.abc import Mapping

import attrs
import result

from jujubetiller import codes, schema, settings

FEATURES_VARIABLE = "JUJUBETILLER_FEATURES"
"""Holds a JSON object with fields of ``settings.FeatureSettings``, such as
``{"admission": "cost"}``. The platform writes the settings file and knows none."""

_NAMES = tuple(field.name for field in attrs.fields(settings.FeatureSettings))


def read_features(
    environment: Mapping[str, str],
) -> result.Result[settings.FeatureSettings, codes.Problem]:
    """Return the features that the environment chooses; the defaults if it has none."""
    text = environment.get(FEATURES_VARIABLE, "")
    if not text:
        return result.Ok(settings.FeatureSettings())
    parsed = schema.parse_json(text, codes.ResultCode.BAD_SETTINGS)
    if isinstance(parsed, result.Err):
        return _reject(parsed.err_value.message)
    if not isinstance(parsed.ok_value, dict) or set(parsed.ok_value) - set(_NAMES):
        return _reject(f"allowed is an object with the fields {', '.join(_NAMES)}")
    try:
        return result.Ok(settings.FeatureSettings(**parsed.ok_value))
    except schema.FieldError as error:
        return _reject(str(error))


def _reject(message: str) -> result.Err[codes.Problem]:
    return result.Err(
        codes.Problem(codes.ResultCode.BAD_SETTINGS, FEATURES_VARIABLE, message)
    )
