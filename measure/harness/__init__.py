"""Start fleets of real daemons with fake upstreams on loopback."""
