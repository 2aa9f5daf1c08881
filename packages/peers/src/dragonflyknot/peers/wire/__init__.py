"""Messages of the control channel; the modules are generated."""
