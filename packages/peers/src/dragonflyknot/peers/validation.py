"""Validation of messages from peers."""

MAX_NAME_CHARS = 256
MAX_ITEMS = 1024
MAX_KEY_RECORDS = 100_000


class BadMessageError(ValueError):
    """Raised for a message with an invalid field."""

    def __init__(self, name: str, remedy: str) -> None:
        """Build a message of the field name and the remedy."""
        super().__init__(f'{name} is wrong: {remedy}.')


def checked_name(name: str, text: str, *, allow_empty: bool = False) -> str:
    """Return a text of at most MAX_NAME_CHARS characters.

    Raise BadMessageError if it is longer, or empty without `allow_empty`.
    """
    if len(text) > MAX_NAME_CHARS:
        raise BadMessageError(name, f'send at most {MAX_NAME_CHARS} characters')
    if not (text or allow_empty):
        raise BadMessageError(name, 'send a text that is not empty')
    return text


def checked_count(name: str, count: int, limit: int = MAX_ITEMS) -> None:
    """Raise BadMessageError if there are more items than the limit."""
    if count > limit:
        raise BadMessageError(name, f'send at most {limit} items')


def checked_amount(name: str, amount: float) -> float:
    """Return a finite number >= 0. Raise BadMessageError otherwise."""
    if not 0 <= amount < float('inf'):
        raise BadMessageError(name, 'send a finite number from 0')
    return amount
