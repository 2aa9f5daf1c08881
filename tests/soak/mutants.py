"""Take one of the guards out of a daemon.

A soak that does not find the broken promise then could not fail at all.
"""

from dataclasses import replace
from importlib import import_module
from typing import Any

AT_MOST_ONCE = 'at-most-once'
DRAIN = 'drain'


def take_out(guard: str) -> None:
    """Take a guard out of the modules that the daemon loads."""
    match guard:
        case 'at-most-once':
            _repeat_everything()
        case 'drain':
            _serve_while_draining()
        case _:
            raise ValueError(f'{guard} is no guard; use {AT_MOST_ONCE}')


def _repeat_everything() -> None:
    module: Any = import_module('dragonflyknot.callers.resendrules')
    guarded = module.ResendRules.may_run_again

    def reckless(self: Any, forwarded: Any) -> bool:
        forwarded.route = replace(forwarded.route, idempotent=True)
        return bool(guarded(self, forwarded))

    module.ResendRules.may_run_again = reckless


def _serve_while_draining() -> None:
    states: Any = import_module('dragonflyknot.decisions.upstreamstate')
    guarded = states.UpstreamRegister.apply_heartbeat

    def reckless(self: Any, heartbeat: Any) -> bool:
        ready = states.UpstreamState.READY
        return bool(guarded(self, replace(heartbeat, state=ready)))

    states.UpstreamRegister.apply_heartbeat = reckless
