"""Control calls and request forwarding between daemons.

`directory` holds the addresses of daemons, `forward` sends attempts to gates
and `receiving` accepts them; the `control` modules implement the gRPC
service. `sitelinks` and `sitewire` forward attempts and encode control
messages over HTTP between the daemons of a site.
"""
