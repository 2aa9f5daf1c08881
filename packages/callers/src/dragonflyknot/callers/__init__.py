"""Serve callers over HTTP, and the calls of upstreams (the edge).

`edge` checks a caller's request and spends its rate token, and admits a
deeper call by what its chain has already passed. `attempts` sends a call to
gates until it is served or refused, `attemptprobe` probes attempts without an
answer, and `ports` declares what the edge needs from the rest of the daemon.

`siteedge`, `requestrunner`, `resendrules`, `forwardedrequest`, `hedging`,
`attempttimer` and `siteedgeports` do the same for a site, whose platform
provides the configuration and the header names.
"""
