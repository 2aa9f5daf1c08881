"""Checks that every message from a peer passes before it is used."""

MAX_NAME_CHARS = 256
MAX_ITEMS = 1024
MAX_KEY_RECORDS = 100_000


class BadMessageError(ValueError):
    """Say which field of a message is wrong, and what it should be."""

    def __init__(self, name: str, remedy: str) -> None:
        """Keep the field's name and the remedy."""
        super().__init__(f'{name} is wrong: {remedy}.')


def checked_name(name: str, text: str, *, empty: bool = False) -> str:
    """Return a short text; `empty` allows none."""
    if len(text) > MAX_NAME_CHARS:
        raise BadMessageError(name, f'send at most {MAX_NAME_CHARS} characters')
    if not (text or empty):
        raise BadMessageError(name, 'send a text that is not empty')
    return text


def checked_count(name: str, count: int, limit: int = MAX_ITEMS) -> None:
    """Refuse more items than a receiver takes."""
    if count > limit:
        raise BadMessageError(name, f'send at most {limit} items')


def checked_amount(name: str, amount: float) -> float:
    """Return a finite number that is not negative."""
    if not 0 <= amount < float('inf'):
        raise BadMessageError(name, 'send a finite number from 0')
    return amount
