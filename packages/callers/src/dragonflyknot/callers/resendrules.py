"""Decide whether a request may be sent once more.

A request that was refused before it ran may be sent to another host. One
that ran, or may have run, is sent again only if its route is idempotent and
allows another upstream, and the fleet's bound on retries is not reached.
"""

import time
from typing import Final

from dragonflyknot.callers.forwardedrequest import ForwardedRequest
from dragonflyknot.callers.hedging import has_succeeded
from dragonflyknot.callers.siteedgeports import SiteEdgePorts
from dragonflyknot.decisions.siteretries import RetryClass
from dragonflyknot.exchange.outcomes import (
    Answered,
    MayHaveRun,
    NotRun,
    Outcome,
)

MAX_SENDS_PER_REQUEST: Final = 6


class ResendRules:
    """Apply the limits on further attempts of one daemon's requests."""

    def __init__(self, ports: SiteEdgePorts) -> None:
        """Create the rules on the ports of the daemon."""
        self._ports = ports

    def should_send_again(
        self, forwarded: ForwardedRequest, outcome: Outcome
    ) -> bool:
        """Return whether to send a request again after an outcome.

        A further run is charged to the fleet's bound on retries.
        """
        match outcome:
            case Answered():
                if has_succeeded(outcome):
                    return False
                return self._may_retry_failure(forwarded)
            case NotRun(_refusal, reached_upstream):
                if not reached_upstream:
                    return self._may_try_other_gate(forwarded)
                return self._may_retry_refusal(forwarded)
            case MayHaveRun():
                forwarded.runs += 1
                return self.may_run_again(forwarded)

    def _may_retry_failure(self, forwarded: ForwardedRequest) -> bool:
        """Return whether to retry a failure at another upstream."""
        if forwarded.is_call:
            return False
        forwarded.runs += 1
        # If all hosts fail, the cause is a deeper service, and a retry would
        # fail as well.
        has_healthier = self._ports.balancer.has_healthier(
            forwarded.service, forwarded.excluded_hosts, time.monotonic()
        )
        return has_healthier and self.may_run_again(forwarded)

    def _may_try_other_gate(self, forwarded: ForwardedRequest) -> bool:
        """Return whether to try another gate if one did not pass it on."""
        if forwarded.sends >= MAX_SENDS_PER_REQUEST or not forwarded.can_resend:
            return False
        return forwarded.has_time and self._has_other_host(forwarded)

    def _may_retry_refusal(self, forwarded: ForwardedRequest) -> bool:
        """Return whether to retry after an upstream refused to run it."""
        if forwarded.sends >= MAX_SENDS_PER_REQUEST or not forwarded.can_resend:
            return False
        if not forwarded.has_time:
            return False
        if self._may_use_another(forwarded):
            return self._take_retry(forwarded)
        refusing_hosts = forwarded.reached_hosts - forwarded.pending_hosts
        if not refusing_hosts or not self._take_retry(forwarded):
            return False
        # No further upstream is allowed, but those that refused may have
        # free slots by now.
        forwarded.only_hosts = frozenset(refusing_hosts)
        forwarded.tried_hosts -= refusing_hosts
        return True

    def may_run_again(self, forwarded: ForwardedRequest) -> bool:
        """Return whether a request that may have run may run once more.

        A further run is charged to the fleet's bound on retries.
        """
        if not forwarded.route.idempotent or not forwarded.can_resend:
            return False
        if not forwarded.has_time or not self._may_use_another(forwarded):
            return False
        return self._take_retry(forwarded)

    def _may_use_another(self, forwarded: ForwardedRequest) -> bool:
        if forwarded.only_hosts or not self._has_other_host(forwarded):
            return False
        return len(forwarded.reached_hosts) < forwarded.route.max_attempts

    def _take_retry(self, forwarded: ForwardedRequest) -> bool:
        retry_class = RetryClass.ENTRY_REQUEST
        if self._ports.balancer.is_leaf(forwarded.service):
            retry_class = RetryClass.LEAF_SERVICE
        elif forwarded.is_call:
            retry_class = RetryClass.INNER_CALL
        return self._ports.site_retries.take(
            forwarded.service, time.monotonic(), retry_class, forwarded.priority
        )

    def _has_other_host(self, forwarded: ForwardedRequest) -> bool:
        return self._ports.balancer.has_other(forwarded.host_query)
