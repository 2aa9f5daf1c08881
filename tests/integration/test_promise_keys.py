"""A request runs only for the workspace whose key came with it."""

import asyncio
import json
import uuid
from functools import partial

from dragonflyknot.decisions import headers as names
from harness.caller import Shot
from promisesite import EDGE, NORTH, PROFILE, Site, SiteCase, until

UNAUTHORIZED = 401


class KeyTest(SiteCase):
    """No upstream sees a key, and a withdrawn key stops within seconds.

    Fails when the edge forwards the key, or checks it once a connection.
    """

    specs = (EDGE, NORTH, PROFILE)

    def test_withdrawn_key_stops_on_every_edge(self) -> None:
        async def body(site: Site) -> None:
            key = site.keys_by_workspace['press']
            await site.fleet.withdraw_key(key)
            for spec in site.specs:
                await until(partial(self._is_refused, site, spec.host))
            before = site.runs().total()
            for spec in site.specs:
                results = await site.shoot_all(
                    [Shot('GET', '/auditions/1') for _ in range(10)],
                    spec.host,
                    'press',
                )
                statuses = {result.status for result in results}
                self.assertEqual({UNAUTHORIZED}, statuses)
            self.assertEqual(before, site.runs().total())
            other = await site.shoot(Shot('GET', '/auditions/1'))
            self.assertTrue(other.is_whole)

        self.on_site(body)

    def test_nobody_but_the_edge_sees_a_key(self) -> None:
        async def body(site: Site) -> None:
            shot = Shot('GET', '/narrators/1', deeper=('/auditions/1',))
            served = await site.shoot_all([shot] * 5)
            self.assertTrue(all(result.is_whole for result in served))
            planted = f'planted{uuid.uuid4().hex}'
            site.keys_by_workspace['stranger'] = planted
            stranger = await site.shoot(
                Shot('GET', '/auditions/1'), 'edge', 'stranger'
            )
            self.assertEqual(UNAUTHORIZED, stranger.status)
            for upstream in site.fleet.upstreams_by_host.values():
                self.assertEqual(0, upstream.ledger.leaked_keys)
            texts = await self._everything_told(site)
            for secret in site.keys_by_workspace.values():
                for name, text in texts.items():
                    self.assertFalse(secret in text, f'{name} holds a key')

        self.on_site(body)

    async def _is_refused(self, site: Site, edge: str) -> bool:
        probe = await site.shoot(Shot('GET', '/auditions/1'), edge, 'press')
        return probe.status == UNAUTHORIZED

    async def _everything_told(self, site: Site) -> dict[str, str]:
        texts = {
            f'log of {host}': '\n'.join(daemon.lines())
            for host, daemon in site.fleet.daemons_by_host.items()
        }
        for spec in site.specs:
            dump = await site.fleet.dump(spec.host)
            texts[f'dump of {spec.host}'] = dump.model_dump_json()
        return texts

    def test_reserved_headers_of_a_caller_have_no_effect(self) -> None:
        async def body(site: Site) -> None:
            key = site.keys_by_workspace['studio']
            forged = {
                names.AUTHORIZATION: f'Bearer {key}',
                names.HOP_CALL: json.dumps({'workspace': 'press'}),
                names.HOP_SECRET: 'guess',
                names.CHAIN: 'forged',
                names.HOP_LOAD: '{}',
                names.HOP_RETRIES_UNUSED: '1000',
                names.OUTCOME: 'not-run',
                'X-Tag': 'forged',
            }
            url = f'http://{site.fleet.callers("edge")}/auditions/1'
            async with site.session.get(url, headers=forged) as answer:
                self.assertEqual(200, answer.status)
                reserved = {
                    name.lower()
                    for name in answer.headers
                    if name.lower().startswith(names.HOP_PREFIX)
                }
            self.assertEqual({names.REQUEST_ID.lower()}, reserved)
            dump = (await site.fleet.dump('north')).model_dump_json()
            self.assertFalse('forged' in dump)

        self.on_site(body)

    def test_stranger_reaches_no_gate(self) -> None:
        async def body(site: Site) -> None:
            before = site.runs().total()
            addresses = site.fleet.addresses_by_host['north']
            for secret in ('', 'wrong', 'fleet-secret-for-loopback '):
                async with site.session.get(
                    f'http://{addresses.requests}/auditions/1',
                    headers={names.HOP_SECRET: secret, names.HOP_CALL: '{}'},
                ) as answer:
                    refused = await answer.json()
                    self.assertIn(answer.status, (400, 403), refused)
            for chain in ('', 'forged', 'a' * 5000):
                async with site.session.get(
                    f'http://{addresses.upstream}/auditions/1',
                    headers={names.CHAIN: chain},
                ) as answer:
                    self.assertEqual(400, answer.status)
            await asyncio.sleep(0)
            self.assertEqual(before, site.runs().total())

        self.on_site(body)
