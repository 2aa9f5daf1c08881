"""Check the share of a workspace that each shard issues."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyknot.decisions.buckets import HOLDER_GRANT_VALIDITY_S
from dragonflyknot.decisions.document import Configuration, Workspace
from dragonflyknot.decisions.layouts import Layout, ShardShares, compute_layout

NAME = 'acme'
SHARDS = 8


def make_layout(burst: float) -> Layout:
    workspaces = {NAME: Workspace(NAME, 10, burst)}
    return compute_layout(
        Configuration(workspaces_by_name=workspaces), SHARDS, 10
    )


SMALL, MIDDLE, LARGE = make_layout(5), make_layout(40), make_layout(400)


class LayoutTest(testtools.TestCase):
    """Assign a workspace to as many shards as its burst suffices for."""

    def test_shares_add_up_to_one(self) -> None:
        for layout in (SMALL, MIDDLE, LARGE):
            shares = [layout.share(NAME, shard) for shard in range(SHARDS)]
            self.assertAlmostEqual(1, sum(shares))

    def test_a_small_burst_has_few_shards(self) -> None:
        counts = [
            len(layout.shards_by_workspace[NAME])
            for layout in (SMALL, MIDDLE, LARGE)
        ]
        self.assertEqual([1, 4, 8], counts)

    def test_even_and_odd_shards_take_turns(self) -> None:
        shards = MIDDLE.shards_by_workspace[NAME]
        self.assertEqual(2, sum(shard % 2 for shard in shards))

    def test_a_rate_alone_leaves_the_layout_as_it_is(self) -> None:
        other = Configuration(workspaces_by_name={NAME: Workspace(NAME, 99, 5)})
        self.assertEqual(SMALL.digest, compute_layout(other, SHARDS, 10).digest)


class SharesTest(testtools.TestCase):
    """Issue no more than any layout since the last confirmed one allows."""

    def test_a_new_shard_mints_nothing_until_confirmed(self) -> None:
        shares = ShardShares()
        shares.install(LARGE)
        shares.gain(0, 0)
        self.assertEqual(0, shares.share(NAME, 0))
        shares.confirm(LARGE.digest, 1)
        self.assertFalse(
            shares.apply_due_layout(1 + HOLDER_GRANT_VALIDITY_S / 2)
        )
        self.assertTrue(shares.apply_due_layout(1 + HOLDER_GRANT_VALIDITY_S))
        self.assertEqual(1 / SHARDS, shares.share(NAME, 0))

    def test_a_larger_share_waits_and_a_smaller_one_does_not(self) -> None:
        shares = ShardShares()
        shares.install(LARGE)
        shard = next(iter(SMALL.shards_by_workspace[NAME]))
        other = (shard + 1) % SHARDS
        for held in (shard, other):
            shares.gain(held, 0)
        shares.confirm(LARGE.digest, 0)
        shares.apply_due_layout(10)
        shares.install(SMALL)
        self.assertEqual(1 / SHARDS, shares.share(NAME, shard))
        self.assertEqual(0, shares.share(NAME, other))
        shares.confirm(SMALL.digest, 20)
        shares.apply_due_layout(30)
        self.assertEqual(1, shares.share(NAME, shard))

    def test_a_further_layout_cancels_a_confirmation(self) -> None:
        shares = ShardShares()
        shares.install(LARGE)
        shares.gain(0, 0)
        shares.confirm(LARGE.digest, 0)
        shares.install(SMALL)
        self.assertFalse(shares.apply_due_layout(10))

    @settings(derandomize=True, deadline=None, database=None, max_examples=200)
    @given(
        script=st.lists(
            st.tuples(
                st.sampled_from(('install', 'move', 'read', 'replace')),
                st.integers(0, SHARDS - 1),
                st.sampled_from((SMALL, MIDDLE, LARGE)),
            ),
            max_size=60,
        )
    )
    def test_shares_never_exceed_the_whole(
        self, script: list[tuple[str, int, Layout]]
    ) -> None:
        holders = [ShardShares() for _ in range(SHARDS)]
        rows = [LARGE.digest for _ in range(SHARDS)]
        for shard, shares in enumerate(holders):
            shares.install(LARGE)
            shares.gain(shard, 0)
        for now, (kind, shard, new) in enumerate(script):
            match kind:
                case 'install':
                    holders[shard].install(new)
                case 'move':
                    followed = holders[shard].layout
                    assert followed is not None
                    rows[shard] = followed.digest
                case 'read' if len(set(rows)) == 1:
                    holders[shard].confirm(rows[shard], now)
                    holders[shard].apply_due_layout(
                        now + HOLDER_GRANT_VALIDITY_S
                    )
                case 'replace':
                    holders[shard] = ShardShares()
                    holders[shard].install(new)
                    holders[shard].gain(shard, now)
                    rows[shard] = new.digest
            total = sum(
                shares.share(NAME, held) for held, shares in enumerate(holders)
            )
            self.assertLessEqual(total, 1 + 1e-9)
