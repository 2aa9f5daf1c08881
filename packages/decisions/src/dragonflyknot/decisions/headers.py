"""Names of the headers that callers, upstreams and daemons exchange.

Headers of the callers' interface are public. Hop headers travel between
daemons only: the edge drops them from callers, and the gate drops them
before the upstream.
"""

AUTHORIZATION = 'Authorization'
CHAIN = 'Dragonflyknot-Chain'
IDEMPOTENCY_KEY = 'Idempotency-Key'
OUTCOME = 'Dragonflyknot-Outcome'
REQUEST_ID = 'Dragonflyknot-Request'
REQUEST_TIMEOUT = 'Request-Timeout'
RETRY_AFTER = 'Retry-After'

HOP_PREFIX = 'dragonflyknot-'
"""Lower-case prefix of every header that the system reserves."""

HOP_SECRET = 'Dragonflyknot-Secret'
HOP_CALL = 'Dragonflyknot-Call'
HOP_LOAD = 'Dragonflyknot-Load'
HOP_REFUSAL = 'Dragonflyknot-Refusal'
HOP_RETRIES_UNUSED = 'Dragonflyknot-Retries-Unused'
HOP_DEEPER_FAILED = 'Dragonflyknot-Deeper-Failed'
