"""Hold the policy in force and tell the state machines of a new one."""

from collections.abc import Callable

import structlog

from dragonflyknot.callers.ports import Policy
from dragonflyknot.decisions.document import Configuration
from dragonflyknot.decisions.routes import RouteTable

_log = structlog.get_logger(__name__)

Subscriber = Callable[[Configuration], None]


class PolicyHolder:
    """Give the policy in force to the edge."""

    def __init__(self) -> None:
        """Start without a policy."""
        self._policy: Policy | None = None
        self._subscribers: list[Subscriber] = []

    def current(self) -> Policy | None:
        """Return the policy in force, or None before the first one."""
        return self._policy

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call a subscriber with each configuration that is installed."""
        self._subscribers.append(subscriber)

    def install(self, configuration: Configuration) -> None:
        """Put a configuration in force; a lower revision is refused."""
        number = configuration.revision.number
        if self._policy is not None:
            if number <= self._policy.configuration.revision.number:
                return
        self._policy = Policy(configuration, RouteTable(configuration.routes))
        _log.info('configuration_in_force', revision=number)
        for subscriber in self._subscribers:
            subscriber(configuration)
