"""List what differs between two documents."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from dragonflyknot.operators.document import Document


@dataclass(frozen=True, slots=True)
class Difference:
    """Describe one change; a side without the field is `None`."""

    place: str
    before: object
    after: object

    def __str__(self) -> str:
        if self.before is None:
            return f'+ {self.place} = {self.after}'
        if self.after is None:
            return f'- {self.place} = {self.before}'
        return f'~ {self.place}: {self.before} -> {self.after}'


def differences(
    before: Document | None, after: Document | None
) -> tuple[Difference, ...]:
    """Return the changes from one document to another, by place."""
    old = _fields_by_place(before)
    new = _fields_by_place(after)
    return tuple(
        Difference(place, old.get(place), new.get(place))
        for place in sorted({*old, *new})
        if old.get(place) != new.get(place)
    )


def _fields_by_place(document: Document | None) -> dict[str, object]:
    if document is None:
        return {}
    tables = document.model_dump(exclude={'routes'})
    tables['routes'] = {
        f'{route.method} {route.prefix}': route.model_dump(
            exclude={'method', 'prefix'}
        )
        for route in document.routes
    }
    return dict(_flattened('', tables))


def _flattened(
    place: str, table: Mapping[str, object]
) -> Iterator[tuple[str, object]]:
    for name, found in table.items():
        inner = f'{place}.{name}' if place else name
        match found:
            case dict():
                yield from _flattened(inner, found)
            case _:
                yield inner, found
