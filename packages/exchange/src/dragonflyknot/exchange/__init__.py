"""HTTP exchanges that callers, daemons and upstreams have in common.

`heads` filters headers, `bodies` streams request bodies, `relaying` passes
whole answers on, `hops` encodes what daemons tell each other about a
request, `refusing` writes refusals and `tally` counts what happened.
"""
