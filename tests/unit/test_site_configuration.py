"""Tests of the routes, traffic splits and priorities of a site."""

from collections import Counter

import testtools

from dragonflyknot.decisions.siteconfig import (
    SiteConfiguration,
    SiteRoute,
    SiteRoutes,
    SiteWorkspace,
    Splitter,
    WeightedService,
    effective_priority,
)


def route(name: str, prefix: str, *parts: WeightedService) -> SiteRoute:
    """Return a route of one host."""
    return SiteRoute(
        name=name,
        host='one.example',
        prefix=prefix,
        idempotent=True,
        timeout_s=1,
        target_latency_s=1,
        priority=3,
        parts=parts or (WeightedService('service', 1),),
    )


class SiteRoutesTest(testtools.TestCase):
    """The longest prefix of a host wins."""

    def test_longest_prefix_by_host(self) -> None:
        """Match the host first, then the longest prefix."""
        routes = SiteRoutes(
            SiteConfiguration(
                1, (route('short', '/a/'), route('long', '/a/b/'))
            )
        )
        for host, path, expected in (
            ('one.example', '/a/x', 'short'),
            ('one.example', '/a/b/x/y', 'long'),
            ('one.example', '/a/b', 'short'),
            ('one.example', '/a', None),
            ('one.example', '/b/', None),
            ('two.example', '/a/x', None),
        ):
            found = routes.find(host, path)
            self.assertEqual(expected, found.name if found else None, path)

    def test_root_prefix(self) -> None:
        """Match every path if the prefix is a slash."""
        routes = SiteRoutes(SiteConfiguration(1, (route('root', '/'),)))
        self.assertIsNotNone(routes.find('one.example', '/any/path'))


class SplitterTest(testtools.TestCase):
    """Traffic shares hold over short spans."""

    def test_shares_of_a_short_span(self) -> None:
        """Apply weights of 90 and 10 within every ten requests."""
        split = route(
            'r', '/a/', WeightedService('big', 90), WeightedService('small', 10)
        )
        splitter = Splitter()
        for _round in range(5):
            chosen = Counter(splitter.choose(split) for _ in range(10))
            self.assertEqual({'big': 9, 'small': 1}, dict(chosen))

    def test_changed_weights(self) -> None:
        """Apply a new number of services."""
        splitter = Splitter()
        splitter.choose(
            route('r', '/a/', WeightedService('a', 1), WeightedService('b', 1))
        )
        changed = route(
            'r',
            '/a/',
            WeightedService('a', 1),
            WeightedService('b', 0),
            WeightedService('c', 1),
        )
        chosen = Counter(splitter.choose(changed) for _ in range(10))
        self.assertEqual({'a': 5, 'c': 5}, dict(chosen))


class PriorityTest(testtools.TestCase):
    """The priority of a workspace overrides that of the route."""

    def test_workspace_overrides_route(self) -> None:
        """Use the route's priority only if the workspace has none."""
        site_route = route('r', '/a/')
        self.assertEqual(3, effective_priority(site_route, None))
        self.assertEqual(3, effective_priority(site_route, SiteWorkspace('w')))
        with_priority = SiteWorkspace('w', priority=7)
        self.assertEqual(7, effective_priority(site_route, with_priority))
