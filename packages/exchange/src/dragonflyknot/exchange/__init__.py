"""HTTP handling shared by the edge, the gate and the peer protocol.

`headerfilter` filters headers, `bodies` buffers or streams request bodies,
`relaying` forwards complete responses, `attemptheaders` encodes the headers
that daemons attach to a forwarded request, `refusing` writes refusals and
`tally` holds the request counters.
"""
