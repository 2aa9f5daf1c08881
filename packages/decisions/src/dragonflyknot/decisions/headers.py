"""Names of the headers that callers, upstreams and daemons exchange.

The headers of the callers' interface are public. Hop headers are used
between daemons only: the edge removes them from requests of callers, and the
gate removes them before it forwards a request to the upstream.
"""

AUTHORIZATION = 'Authorization'
CHAIN = 'Dragonflyknot-Chain'
IDEMPOTENCY_KEY = 'Idempotency-Key'
OUTCOME = 'Dragonflyknot-Outcome'
REQUEST_ID = 'Dragonflyknot-Request'
REQUEST_TIMEOUT = 'Request-Timeout'
RETRY_AFTER = 'Retry-After'

HOP_PREFIX = 'dragonflyknot-'
"""Lower-case prefix of all reserved header names."""

HOP_SECRET = 'Dragonflyknot-Secret'
HOP_CALL = 'Dragonflyknot-Call'
HOP_LOAD = 'Dragonflyknot-Load'
HOP_REFUSAL = 'Dragonflyknot-Refusal'
HOP_RETRIES_UNUSED = 'Dragonflyknot-Retries-Unused'
HOP_DOWNSTREAM_FAILED = 'Dragonflyknot-Deeper-Failed'
