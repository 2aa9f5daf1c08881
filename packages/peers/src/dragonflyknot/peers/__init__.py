"""Control and request forwarding between daemons."""
