"""Turn pydantic's errors into faults that name a remedy."""

import difflib
from collections.abc import Iterator, Sequence
from typing import get_args

from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

from dragonflyknot.operators.faults import Fault

_MAX_SHOWN = 40


def faults_of(
    error: ValidationError, model: type[BaseModel]
) -> Iterator[Fault]:
    """Yield one fault for each error of a validation of `model`."""
    for details in error.errors(include_url=False):
        yield Fault(
            place=place_of(details['loc']),
            message=_message(details),
            remedy=_remedy(details, model),
        )


def place_of(location: Sequence[str | int]) -> str:
    """Return the dotted path of a location in the document."""
    steps = (str(step) for step in location if step != '[key]')
    return '.'.join(_shorten(step) for step in steps) or 'document'


def shown(found: object) -> str:
    """Return a short printable form of a value in the document."""
    return _shorten(repr(found))


def _shorten(text: str) -> str:
    printable = ''.join(map(_printable, text[: _MAX_SHOWN + 1]))
    if len(printable) > _MAX_SHOWN:
        return f'{printable[:_MAX_SHOWN]}...'
    return printable or '""'


def _printable(mark: str) -> str:
    return mark if mark.isprintable() else '?'


def _message(details: ErrorDetails) -> str:
    match details['type']:
        case 'extra_forbidden':
            return 'the field is not known'
        case 'missing':
            return 'the field is missing'
        case _:
            return f'{shown(details["input"])} is refused'


def _remedy(details: ErrorDetails, model: type[BaseModel]) -> str:
    location = details['loc']
    match details['type']:
        case 'extra_forbidden':
            return _nearest_field(location, model)
        case 'missing':
            return f'Add the field {location[-1]!r}'
        case 'string_pattern_mismatch':
            return _pattern_remedy(location)
        case 'too_short':
            return 'Add at least one entry'
        case _:
            return details['msg'].replace('Input should', 'It must')


def _pattern_remedy(location: Sequence[str | int]) -> str:
    if location[-1] == 'prefix':
        return 'Begin it with "/" and leave out spaces, "?" and "#"'
    return 'Use lower-case letters, digits and "-", and begin with a letter'


def _nearest_field(
    location: Sequence[str | int], model: type[BaseModel]
) -> str:
    fields = _fields_at(location[:-1], model)
    written = str(location[-1])[:_MAX_SHOWN]
    near = difflib.get_close_matches(written, fields, n=1)
    if near:
        return f'Write {near[0]!r} or remove it'
    listed = ', '.join(fields)
    return f'Remove it; the fields here are {listed}'


def _fields_at(
    location: Sequence[str | int], model: type[BaseModel]
) -> list[str]:
    for step in location:
        field = model.model_fields.get(str(step))
        if field is not None:
            model = _model_in(field.annotation) or model
    return list(model.model_fields)


def _model_in(annotation: object) -> type[BaseModel] | None:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    for argument in get_args(annotation):
        found = _model_in(argument)
        if found is not None:
            return found
    return None
