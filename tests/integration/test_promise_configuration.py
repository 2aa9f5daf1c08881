"""An accepted configuration is in force everywhere and never reverts."""

import asyncio

import testtools

from promisesite import DOCUMENT, EDGE, NORTH, SOUTH, Site, until, with_site

CHANGED = DOCUMENT.replace('rate = 4000', 'rate = 4001')
AGAIN = DOCUMENT.replace('rate = 4000', 'rate = 4002')


class ConfigurationTest(testtools.TestCase):
    """Fails when a daemon installs a revision that isn't higher."""

    def test_revision_reaches_all_and_never_reverts(self) -> None:
        async def body(site: Site) -> None:
            numbers_by_host: dict[str, list[int]] = {
                spec.host: [] for spec in site.specs
            }
            watching = asyncio.create_task(self._watch(site, numbers_by_host))
            second = await site.fleet.promote(CHANGED, base=1)
            await until(lambda: self._in_force(site, second))
            await site.fleet.switch_platform(lost_answers=1)
            third = await site.fleet.promote(AGAIN, base=second)
            await until(lambda: self._in_force(site, third))
            await site.fleet.switch_platform(down=True)
            await site.fleet.daemons_by_host['north'].kill()
            await site.fleet.start_daemon(NORTH)
            await until(lambda: self._in_force(site, third))
            watching.cancel()
            for numbers in numbers_by_host.values():
                seen = [number for number in numbers if number]
                self.assertEqual(sorted(seen), seen)

        with_site(body, EDGE, NORTH, SOUTH)

    def test_one_of_two_operators_wins(self) -> None:
        async def body(site: Site) -> None:
            raced = await asyncio.gather(
                site.fleet.promote(CHANGED, base=1),
                site.fleet.promote(AGAIN, base=1),
                return_exceptions=True,
            )
            won = [one for one in raced if one == 2]
            lost = [str(one) for one in raced if isinstance(one, RuntimeError)]
            self.assertEqual((1, 1), (len(won), len(lost)))
            await until(lambda: self._in_force(site, 2))
            digests = {
                (await site.fleet.dump(spec.host)).revision.digest
                for spec in site.specs
            }
            self.assertEqual(1, len(digests))

        with_site(body, EDGE, NORTH)

    async def _in_force(self, site: Site, number: int) -> bool:
        return {await _revision(site, spec.host) for spec in site.specs} == {
            number
        }

    async def _watch(
        self, site: Site, numbers_by_host: dict[str, list[int]]
    ) -> None:
        while True:
            for host, numbers in numbers_by_host.items():
                numbers.append(await _revision(site, host))
            await asyncio.sleep(0.02)


async def _revision(site: Site, host: str) -> int:
    try:
        dump = await site.fleet.dump(host)
    except OSError:
        return 0
    return dump.revision.number
