"""The daemon: settings, wiring and lifecycle."""
