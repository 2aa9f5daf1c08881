"""The gate: admits work to the upstream of this host.

`announcements` keeps what the upstream says of itself, `gate` takes attempts
through the ledger and the queue, `dispatch` sends them to the upstream, and
`listener` serves the upstream's own requests.
"""
