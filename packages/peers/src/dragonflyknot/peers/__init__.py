"""Control and request forwarding between daemons.

`directory` knows where daemons listen, `forward` sends attempts to gates and
`receiving` takes them in. The `control` modules speak gRPC.
"""
