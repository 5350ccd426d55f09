"""The formats of the platform's published items."""

from collections.abc import Callable
from typing import Any, TypeVar

import result

from jujubetiller import clock, codes, published, routes, schema
from jujubetiller.platform import _configuration, _instances

_Decoded = TypeVar("_Decoded")
_DecodedConfiguration = result.Result[routes.Configuration, codes.Problem]

KEPT_CONFIGURATIONS = 2
"""The one in force and the next one, or the one that a restored store has lost."""


class PlatformDecoder(published.ItemDecoder):
    """Decodes the JSON values of the platform's store."""

    def __init__(self, unix_clock: clock.Clock | None = None) -> None:
        self.unix_clock = unix_clock or clock.UnixClock()
        self.decoded: dict[bytes, _DecodedConfiguration] = {}
        """The latest configurations by their values: a large one takes long to decode,
        and several components need it."""

    def instance_name(self, key: str) -> str | None:
        """Return the part of ``key`` after the prefix of instances, if it has that."""
        if not key.startswith(_instances.PREFIX):
            return None
        return key.removeprefix(_instances.PREFIX)

    def is_configuration(self, key: str) -> bool:
        """Return whether ``key`` is that of the operator's configuration."""
        return key == _configuration.KEY

    def read_version(
        self, item: published.PublishedItem
    ) -> published.PublisherVersion | None:
        """Return the configuration's version, or the instance's start and sequence."""
        if self.is_configuration(item.key):
            configuration = self.decode_configuration(item)
            if isinstance(configuration, result.Err):
                return None
            return published.PublisherVersion(0, configuration.ok_value.version)
        if self.instance_name(item.key) is None:
            return None
        instance = self.decode_instance(item)
        if isinstance(instance, result.Err) or not instance.ok_value.started_unix_ms:
            return None
        report = instance.ok_value
        return published.PublisherVersion(report.started_unix_ms, report.sequence)

    def outlives_removal(self, key: str) -> bool:
        """Return True for the configuration, of which there is always one."""
        return self.is_configuration(key)

    def decode_instance(
        self, item: published.PublishedItem
    ) -> result.Result[published.PublishedInstance, codes.Problem]:
        """Return the instance that ``item`` describes."""
        name = item.key.removeprefix(_instances.PREFIX)
        now_ms = self.unix_clock.now_ms()
        return _decode(
            item, lambda entry: _instances.translate_instance(name, entry, now_ms)
        )

    def decode_configuration(
        self, item: published.PublishedItem
    ) -> result.Result[routes.Configuration, codes.Problem]:
        """Return the configuration in ``item``."""
        value = item.value or b""
        decoded = self.decoded.get(value)
        if decoded is None:
            decoded = _decode(item, _configuration.translate_configuration)
            self.decoded[value] = decoded
            if len(self.decoded) > KEPT_CONFIGURATIONS:
                del self.decoded[next(iter(self.decoded))]
        return decoded


def _decode(
    item: published.PublishedItem, translate: Callable[[Any], _Decoded]
) -> result.Result[_Decoded, codes.Problem]:
    parsed = schema.parse_json(item.value or b"", codes.ResultCode.BAD_ITEM)
    if isinstance(parsed, result.Err):
        return parsed
    try:
        return result.Ok(translate(parsed.ok_value))
    except schema.FieldError as error:
        return result.Err(_describe(f"{item.key}.{error.field}", error))
    except (ArithmeticError, RecursionError, ValueError) as error:
        return result.Err(_describe(item.key, error))


def _describe(field: str, error: Exception) -> codes.Problem:
    return codes.Problem(codes.ResultCode.BAD_ITEM, field, str(error))
