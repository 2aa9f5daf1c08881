"""Tests of the choice of peers to gossip with."""

import testtools

from dragonflyknot.daemon.peerchoice import PeerChoice
from dragonflyknot.daemon.sitesettings import SiteSettings
from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.candidates import Place
from dragonflyknot.decisions.siteview import SiteEntry, SiteView

DRAWS = 200
ADDRESS = '127.0.0.1:1'
NEAR = ('near-1', 'near-2')
FAR = ('far-1', 'far-2')


def settings() -> SiteSettings:
    """Return the settings of the host that chooses, in data center `a`."""
    return SiteSettings(
        host='own',
        data_center='a',
        region='north',
        service='s',
        upstream_address=ADDRESS,
        callers_listen=ADDRESS,
        peers_listen=ADDRESS,
        upstream_listen=ADDRESS,
        readiness_listen=ADDRESS,
        operators_listen=ADDRESS,
    )


class PeerChoiceTest(testtools.TestCase):
    """Peers that answer are chosen, near ones more often."""

    def setUp(self) -> None:
        """Know two hosts here and two in another data center."""
        super().setUp()
        view = SiteView('own')
        places = [(host, 'a') for host in NEAR] + [(host, 'b') for host in FAR]
        view.merge(
            SiteEntry(
                Place(host, ADDRESS, center, 'north', 's', state, 1), 'i', 1, 1
            )
            for state in (UpstreamState.READY,)
            for host, center in places
        )
        self.unreached_hosts: set[str] = set()
        self.choice = PeerChoice(settings(), view, self.unreached_hosts)

    def drawn(self, *, is_near: bool) -> set[str]:
        """Return the hosts that are drawn at random."""
        return {
            peer.place.host
            for _draw in range(DRAWS)
            for peer in self.choice.random_peers(1, is_near=is_near)
        }

    def test_near_and_far(self) -> None:
        """Draw from the data center that was asked for."""
        self.assertEqual(set(NEAR), self.drawn(is_near=True))
        self.assertEqual(set(FAR), self.drawn(is_near=False))

    # Guards against versions that reach few, as most hosts that are told of
    # them were lost long ago.
    def test_hosts_that_do_not_answer(self) -> None:
        """Draw those that answer, also from elsewhere if none is near."""
        self.unreached_hosts.add('near-1')
        self.assertEqual({'near-2'}, self.drawn(is_near=True))
        self.assertEqual('near-1', self.choice.nearest_peers()[-1].place.host)
        self.unreached_hosts.add('near-2')
        self.assertEqual(set(FAR), self.drawn(is_near=True))

    # Guards against a host that is cut off and finds nobody again.
    def test_nobody_answers(self) -> None:
        """Draw from all if none answers."""
        self.unreached_hosts.update(NEAR, FAR)
        self.assertEqual(set(NEAR), self.drawn(is_near=True))

    # Guards against hosts that are back and not compared with.
    def test_unreached_hosts_are_tried(self) -> None:
        """Return one unreached host at a time, each of them now and then."""
        self.assertEqual([], self.choice.unreached_peers())
        self.unreached_hosts.update(FAR)
        tried = [self.choice.unreached_peers() for _draw in range(DRAWS)]
        self.assertEqual({1}, set(map(len, tried)))
        hosts = {one.place.host for peers in tried for one in peers}
        self.assertEqual(set(FAR), hosts)
