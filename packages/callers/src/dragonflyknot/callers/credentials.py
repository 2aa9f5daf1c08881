"""Read workspace keys, deadlines and idempotency keys from headers."""

import hashlib

from aiohttp import web

from dragonflyknot.decisions import headers as names
from dragonflyknot.decisions.keyring import (
    Keyring,
    StaleKeys,
    UnknownKey,
    ValidKey,
    WithdrawnKey,
)
from dragonflyknot.decisions.refusals import Refusal

WORKSPACE_HEADER = 'Dragonflyknot-Workspace'
MAX_IDEMPOTENCY_KEY_CHARACTERS = 200
MS_PER_SECOND = 1000
_BEARER_PREFIX = 'bearer '


def workspace_of(
    request: web.BaseRequest, keyring: Keyring, now: float
) -> str | Refusal:
    """Return the workspace of the key in a request, or a refusal."""
    authorization = request.headers.get(names.AUTHORIZATION, '')
    if not authorization.lower().startswith(_BEARER_PREFIX):
        return Refusal.KEY_MISSING
    key = authorization[len(_BEARER_PREFIX) :].strip()
    digest = hashlib.sha256(key.encode('utf-8', 'surrogateescape'))
    match keyring.check(digest.hexdigest(), now):
        case ValidKey(workspace):
            named_workspace = request.headers.get(WORKSPACE_HEADER, workspace)
            if named_workspace != workspace:
                return Refusal.KEY_OF_OTHER_WORKSPACE
            return workspace
        case WithdrawnKey():
            return Refusal.KEY_WITHDRAWN
        case StaleKeys():
            return Refusal.KEYS_STALE
        case UnknownKey():
            return Refusal.KEY_UNKNOWN


def deadline_of(
    request: web.BaseRequest, timeout_ms: int, now: float
) -> float | Refusal:
    """Return the deadline of a request in monotonic seconds, or a refusal.

    A timeout in the request can shorten `timeout_ms`, but not extend it.
    """
    text = request.headers.get(names.REQUEST_TIMEOUT)
    if text is None:
        return now + timeout_ms / MS_PER_SECOND
    if not (text.isascii() and text.isdigit() and len(text) < 10):
        return Refusal.MALFORMED
    return now + min(int(text), timeout_ms) / MS_PER_SECOND


def idempotency_key_of(request: web.BaseRequest) -> str | Refusal:
    """Return the idempotency key of a request, or a refusal."""
    keys = request.headers.getall(names.IDEMPOTENCY_KEY, ())
    if not keys:
        return Refusal.IDEMPOTENCY_KEY_MISSING
    key = keys[0]
    if len(keys) > 1 or not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_CHARACTERS:
        return Refusal.MALFORMED
    return key if key.isascii() and key.isprintable() else Refusal.MALFORMED
