"""A value that a validator rejects."""


class FieldError(ValueError):
    """Raised by a validator of an attrs class for one of its fields.

    ``field`` is the name of the field within its class.
    """

    def __init__(self, field: str, message: str) -> None:
        super().__init__(message)
        self.field = field
