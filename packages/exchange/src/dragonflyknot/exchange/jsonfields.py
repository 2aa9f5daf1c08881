"""Read JSON that another writer may have sent, and check its fields.

`read_json` bounds the size and the depth of a text. A number that is not
finite or that has too many digits is read as `UNUSABLE_NUMBER`, which no check
accepts: it spoils its own field, not the whole message. Of fields of the same
name, the last one counts.

The checks are plain functions: a validation library alone would take a fifth
of the memory of a daemon, and memory is costly on the users' platform.
"""

import json
import math
from collections.abc import Iterable, Mapping
from typing import Any, Final, Self

from dragonflyknot.exchange.addresses import is_address

MAX_JSON_BYTES: Final = 8 * 1024 * 1024
MAX_JSON_DEPTH: Final = 32
MAX_INTEGER_CHARS: Final = 19
MAX_NAME_CHARS: Final = 256
UNUSABLE_NUMBER: Final = object()


class MalformedJson(ValueError):
    """Raised for bytes that are not a JSON text within the bounds."""

    def __init__(self, fault: str) -> None:
        """Build a message of the fault."""
        super().__init__(f'The JSON text is malformed: {fault}')


class FieldFault(ValueError):
    """Raised for a field that is missing or malformed."""

    def __init__(self, name: str, remedy: str) -> None:
        """Build a message of the field name and the remedy."""
        super().__init__(f'{name[:MAX_NAME_CHARS]}: {remedy}')


class Fields:
    """Read the fields of one record; unknown fields are ignored."""

    def __init__(self, record: Any, name: str) -> None:
        """Raise FieldFault if the record is not a mapping."""
        if not isinstance(record, Mapping):
            raise FieldFault(name, 'must be a record with named fields')
        self._record = record
        self._name = name

    def string(self, name: str, default: str | None = None) -> str:
        """Return a string that can be encoded. Raise FieldFault."""
        value = self._record.get(name, default)
        if not _is_text(value):
            raise self._fault(name, 'must be a string')
        return str(value)

    def name(self, name: str) -> str:
        """Return a name that fits in a header. Raise FieldFault."""
        value = self.string(name)
        if not is_name(value):
            raise self._fault(
                name, f'must be at most {MAX_NAME_CHARS} printable characters'
            )
        return value

    def integer(
        self,
        name: str,
        default: int | None = None,
        *,
        minimum: int | None = None,
        maximum: int | None = None,
    ) -> int:
        """Return an integer. Raise FieldFault."""
        value = self._record.get(name, default)
        if not isinstance(value, int) or isinstance(value, bool):
            raise self._fault(name, 'must be an integer')
        if minimum is not None and value < minimum:
            raise self._fault(name, f'must be at least {minimum}')
        if maximum is not None and value > maximum:
            raise self._fault(name, f'must be at most {maximum}')
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Return a finite number. Raise FieldFault."""
        value = self._record.get(name, default)
        if not _is_number(value):
            raise self._fault(name, 'must be a number')
        return float(value)

    def address(self, name: str) -> str:
        """Return an IPv4 address and a port. Raise FieldFault."""
        value = self.string(name)
        if not is_address(value):
            raise self._fault(name, 'must be an IPv4 address and a port')
        return value

    def boolean(self, name: str, *, default: bool) -> bool:
        """Return a boolean. Raise FieldFault."""
        value = self._record.get(name, default)
        if not isinstance(value, bool):
            raise self._fault(name, 'must be true or false')
        return value

    def strings(self, name: str) -> tuple[str, ...]:
        """Return a list of strings, empty if absent. Raise FieldFault."""
        value = self.items(name)
        if not all(map(_is_text, value)):
            raise self._fault(name, 'must be a list of strings')
        return tuple(value)

    def numbers(self, name: str) -> tuple[float, ...]:
        """Return a list of numbers, empty if absent. Raise FieldFault."""
        value = self.items(name)
        if not all(_is_number(element) for element in value):
            raise self._fault(name, 'must be a list of numbers')
        return tuple(map(float, value))

    def items(self, name: str) -> list[Any]:
        """Return a list, empty if absent. Raise FieldFault."""
        value = self._record.get(name) or []
        if not isinstance(value, list):
            raise self._fault(name, 'must be a list')
        return value

    def record(self, name: str) -> Self:
        """Return a nested record. Raise FieldFault."""
        return type(self)(self._record.get(name), f'{self._name}.{name}')

    def names(self) -> tuple[str, ...]:
        """Return the names of all fields. Raise FieldFault."""
        if not all(map(_is_text, self._record)):
            raise FieldFault(self._name, 'must have names that are texts')
        return tuple(self._record)

    def has(self, name: str) -> bool:
        """Return whether a field has a value other than null."""
        return self._record.get(name) is not None

    def _fault(self, name: str, remedy: str) -> FieldFault:
        return FieldFault(f'{self._name}.{name}', remedy)


def is_name(text: str) -> bool:
    """Return whether a text is a name that fits in a header."""
    return len(text) <= MAX_NAME_CHARS and text.isprintable()


def read_json(content: bytes) -> Any:
    """Return the value of a JSON text in UTF-8. Raise MalformedJson."""
    if len(content) > MAX_JSON_BYTES:
        raise MalformedJson(f'it has more than {MAX_JSON_BYTES} bytes')
    try:
        value = _DECODER.decode(content.decode())
    except RecursionError as error:
        raise MalformedJson('it is nested too deeply') from error
    except ValueError as error:
        raise MalformedJson(str(error)) from error
    _check_depth(value)
    return value


def _check_depth(value: Any) -> None:
    level = [value]
    for _ in range(MAX_JSON_DEPTH):
        level = [
            inner
            for outer in level
            for inner in _contents(outer)
            if isinstance(inner, dict | list)
        ]
        if not level:
            return
    raise MalformedJson('it is nested too deeply')


def _contents(value: Any) -> Iterable[Any]:
    match value:
        case dict():
            return value.values()
        case list():
            return value
        case _:
            return ()


def _is_text(value: Any) -> bool:
    """Return whether a value is a text that can be encoded.

    A JSON text can escape half of a character that takes two code units.
    """
    if not isinstance(value, str):
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def _is_number(value: Any) -> bool:
    if isinstance(value, bool):
        return False
    return isinstance(value, int) or _is_finite(value)


def _is_finite(value: Any) -> bool:
    return isinstance(value, float) and math.isfinite(value)


def _read_integer(text: str) -> Any:
    return UNUSABLE_NUMBER if len(text) > MAX_INTEGER_CHARS else int(text)


def _read_float(text: str) -> Any:
    number = float(text)
    return number if math.isfinite(number) else UNUSABLE_NUMBER


def _read_constant(_text: str) -> Any:
    return UNUSABLE_NUMBER


_DECODER: Final = json.JSONDecoder(
    parse_float=_read_float,
    parse_int=_read_integer,
    parse_constant=_read_constant,
)
