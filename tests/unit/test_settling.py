"""Check what becomes of writes whose answers were lost."""

from collections.abc import Sequence

import testtools
from result import Err, Ok, Result

from asyncrun import run_async
from dragonflyknot.platform.embedded import EmbeddedTable
from dragonflyknot.platform.errors import (
    AnswerLost,
    ConditionFailed,
    PlatformError,
    Unavailable,
)
from dragonflyknot.platform.settling import Evidence, SettledTable, evidence
from dragonflyknot.platform.writes import (
    CompareAndSet,
    DeleteIf,
    PutIfAbsent,
    Row,
    RowKey,
    Write,
)

KEY = RowKey('leases', 'a')
OTHER = RowKey('leases', 'b')
FIRST = Row(KEY, 1, 'first', 'x')
PUT = PutIfAbsent(KEY, 'first', 'x')
REPLACE = CompareAndSet(FIRST, 'second', 'y')


class UnsentTable(EmbeddedTable):
    """Lose the first writes before they take effect."""

    unsent = 0

    async def transact(
        self, writes: Sequence[Write]
    ) -> Result[None, PlatformError]:
        if self.unsent > 0:
            self.unsent -= 1
            return Err(AnswerLost('table service', 'lost before'))
        return await super().transact(writes)


class SettledTableTest(testtools.TestCase):
    """Lost answers are resolved by reading back and sending again."""

    def setUp(self) -> None:
        super().setUp()
        self.inner = UnsentTable()
        self.table = SettledTable(self.inner)

    def _write(self, *writes: Write) -> Result[None, PlatformError]:
        return run_async(self.table.transact(writes))

    def _row(self, key: RowKey = KEY) -> Row | None:
        return run_async(self.table.get(key)).unwrap()

    def test_applied_write_is_found_by_its_nonce(self) -> None:
        self.inner.switches.lost_answers = 1
        self.assertEqual(self._write(PUT), Ok(None))
        self.assertEqual(self.inner.usage.writes, 1)

    def test_write_that_never_arrived_is_sent_again(self) -> None:
        self.inner.unsent = 1
        self.assertEqual(self._write(PUT), Ok(None))
        self.assertEqual(self._row(), FIRST)

    def test_write_of_another_writer_wins(self) -> None:
        self._write(PutIfAbsent(KEY, 'theirs', 'z'))
        self.inner.unsent = 1
        failed = self._write(PUT).unwrap_err()
        assert isinstance(failed, ConditionFailed)
        self.assertEqual(failed.current, self._row())

    def test_overwritten_row_leaves_the_effect_unknown(self) -> None:
        self._write(PUT)
        self.inner.unsent = 1
        run_async(self.inner.write(PUT))
        newer = Row(KEY, 3, 'third', 'z')
        self.assertEqual(evidence(REPLACE, newer), Evidence.UNKNOWN)

    def test_outage_after_the_loss_leaves_the_effect_unknown(self) -> None:
        self.inner.unsent = 1
        self.inner.switches.down = True
        self.assertIsInstance(self._write(PUT).unwrap_err(), AnswerLost)

    def test_outage_from_the_start_wrote_nothing(self) -> None:
        self.inner.switches.down = True
        self.assertIsInstance(self._write(PUT).unwrap_err(), Unavailable)

    def test_lost_transaction_is_settled_as_a_whole(self) -> None:
        self._write(PUT)
        self.inner.switches.lost_answers = 1
        self.assertEqual(
            self._write(DeleteIf(FIRST), PutIfAbsent(OTHER, 'n', 'x')), Ok(None)
        )
        self.assertIsNone(self._row())
        self.assertIsNotNone(self._row(OTHER))

    def test_row_deleted_by_another_does_not_prove_a_transaction(self) -> None:
        self._write(PUT)
        run_async(self.inner.write(DeleteIf(FIRST)))
        self.inner.unsent = 1
        answer = self._write(DeleteIf(FIRST), PutIfAbsent(OTHER, 'n', 'x'))
        self.assertIsInstance(answer.unwrap_err(), ConditionFailed)
        self.assertIsNone(self._row(OTHER))

    def test_each_lost_answer_is_settled_until_the_sends_run_out(self) -> None:
        self.inner.unsent = 3
        self.assertIsInstance(self._write(PUT).unwrap_err(), AnswerLost)
        self.assertIsNone(self._row())
