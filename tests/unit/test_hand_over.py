"""Check rates while shards move to daemons that joined later.

A fleet starts, its first daemon acquires every shard before the others are
known, and hands one over at each read of the rows.
"""

from functools import partial

import testtools

from dragonflyknot.decisions.document import (
    Configuration,
    Revision,
    Workspace,
)
from dragonflyknot.decisions.leasemessages import LeaseSettings
from dragonflyknot.decisions.placement import Candidate
from dragonflyknot.decisions.quota import QuotaSettings
from experiments.ratefleet import RateFleet

WORKSPACE = 'small'
RATE = 16.0
LATER_HOSTS = ('north', 'edge')
FIRST_DAEMON_ALONE_S = 0.3
REQUEST_INTERVAL_S = 0.5
# A shard issues nothing during the validity of earlier grants, and its layout
# is confirmed by the first read after all shards were acquired.
SETTLING_TIME_S = 6.0


def configuration() -> Configuration:
    return Configuration(
        revision=Revision(1, '', ''),
        workspaces_by_name={WORKSPACE: Workspace(WORKSPACE, RATE, RATE)},
        open_rate=RATE,
        open_burst=RATE,
    )


class HandOverTest(testtools.TestCase):
    """Issue tokens at a holder that still has shards to hand over.

    Fails if a holder confirms its layout only at a read at which it hands
    nothing over: three daemons then refuse a workspace for half a minute.
    """

    def test_first_daemon_mints_while_it_hands_over(self) -> None:
        fleet = RateFleet(configuration(), 1, QuotaSettings(), LeaseSettings())
        self.join(fleet, 'profile')
        fleet.run(FIRST_DAEMON_ALONE_S)
        for host in LATER_HOSTS:
            self.join(fleet, host)
        for number in range(int(SETTLING_TIME_S / REQUEST_INTERVAL_S)):
            for host in ('profile', *LATER_HOSTS):
                send_request = partial(
                    fleet.request, host, WORKSPACE, f'{host}/{number}'
                )
                fleet.at(number * REQUEST_INTERVAL_S, send_request)
        fleet.run(FIRST_DAEMON_ALONE_S + SETTLING_TIME_S)
        held = {
            host: len(daemon.lease_manager.held)
            for host, daemon in fleet.daemons_by_host.items()
        }
        self.assertTrue(held['profile'] > max(held['north'], held['edge']) + 1)
        self.assertTrue(fleet.admissions_by_id, f'none admitted, {held}')

    def join(self, fleet: RateFleet, host: str) -> None:
        fleet.join(Candidate(host, f'{host}/1', host, 'north'), 1)
        fleet.tell_members()
