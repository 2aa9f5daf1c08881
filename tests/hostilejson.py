"""Bytes and JSON texts that another writer may send, for property tests."""

import json
from collections.abc import Iterable
from typing import Any

from hypothesis import strategies as st

LARGE_NUMBERS = (10**30, 10**400, -(10**30), 1e300, float('inf'), float('nan'))
NESTED = b'[' * 100_000
NESTED_RECORDS = b'{"a":' * 100_000


def strange_texts(
    names: Iterable[str], usual: Iterable[Any]
) -> st.SearchStrategy[bytes]:
    """Return any bytes, and JSON texts with fields of the given names.

    `usual` are values that a reader may accept.
    """
    leaves = (
        st.none()
        | st.booleans()
        | st.integers()
        | st.floats()
        | st.text(st.characters(codec=None), max_size=8)
        | st.sampled_from((*LARGE_NUMBERS, '\ud800', *usual))
    )
    values = st.recursive(leaves, _containers_of(tuple(names)), max_leaves=20)
    nested = st.sampled_from((NESTED, NESTED_RECORDS))
    return st.binary() | values.map(_encoded) | nested


def _containers_of(names: tuple[str, ...]) -> Any:
    def containers(inner: st.SearchStrategy[Any]) -> st.SearchStrategy[Any]:
        fields = st.fixed_dictionaries(
            {}, optional=dict.fromkeys((*names, 'x', '\udfff'), inner)
        )
        return st.lists(inner, max_size=4) | fields

    return containers


def _encoded(value: Any) -> bytes:
    return json.dumps(value).encode()
