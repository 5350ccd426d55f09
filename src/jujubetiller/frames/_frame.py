"""The base class of all frame types."""

from typing import Any, ClassVar, Self

import attrs

from jujubetiller import codes
from jujubetiller.frames import _field_table, _rule


@attrs.define
class Frame:
    """A message between two nodes.

    A frame is encoded as an array of its type number, followed by the fields in the
    order of ``FIELDS``.
    """

    TYPE: ClassVar[int]
    NAME: ClassVar[str]
    FIELDS: ClassVar[tuple[tuple[str, _rule.Rule], ...]]
    TABLE: ClassVar[_field_table.FieldTable]
    CONTROL: ClassVar[bool] = False
    """Whether the bytes count as control traffic rather than as calls."""

    @classmethod
    def __attrs_init_subclass__(cls) -> None:
        cls.TABLE = _field_table.FieldTable(cls.NAME, cls.FIELDS)

    def to_fields(self) -> list[Any]:
        """Return the values in the order of ``FIELDS``."""
        return [getattr(self, name) for name in self.TABLE.names]

    @classmethod
    def from_fields(cls, values: list[Any]) -> Self:
        """Return the frame built from checked values."""
        return cls(**dict(zip(cls.TABLE.names, values, strict=True)))

    @classmethod
    def check_fields(cls, values: list[Any]) -> codes.Problem | None:
        """Return the problem of the first field whose value is not allowed."""
        if cls.TABLE.allows(values):
            return None
        return cls.TABLE.describe_problem(values)
