"""The edge: serves callers over HTTP and the deeper calls of upstreams.

`edge` checks a caller's request and spends its token, `chains` does the same
for a deeper call, `attempts` sends a call to gates until it is served or
refused, and `ports` names what the edge needs from the rest of the daemon.
"""
