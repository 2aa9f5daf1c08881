"""The gate: admits work to the upstream of this host."""
