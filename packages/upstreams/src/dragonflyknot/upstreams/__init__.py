"""Admit attempts to the upstream of this host (the gate).

`announcements` holds what the upstream announces about itself, `gate` takes
attempts through the ledger and the queue in `admissionqueue`, `dispatch`
sends them to the upstream, and `listener` serves the upstream's own requests.

`sitegate` does the same for a site, whose platform provides the
announcements and the header names.
"""
