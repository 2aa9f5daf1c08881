"""The daemon: settings, wiring and lifecycle.

`settings` checks flags and environment variables, `runtime` wires the border
packages to the state machines, `listeners` opens the sockets and `lifecycle`
drains them on a signal. The loops that feed a state machine have a module
each.
"""
