"""Check that no operation runs twice, for any responses of the table."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyknot.decisions import operations

A = operations.Claim('op', 'a')
B = operations.Claim('op', 'b')
C = operations.Claim('other', 'c')


class _Table:
    """Insert and remove rows; `fate` selects a fault.

    A write has no effect and fails (1) or loses its response (2), or it is
    applied and loses its response (3).
    """

    def __init__(self) -> None:
        self.rows: dict[str, operations.Claim] = {}

    def insert(
        self, claims: tuple[operations.Claim, ...], fate: int
    ) -> operations.OperationEvent:
        if fate == 1:
            return operations.InsertFailed(may_have_applied=False)
        if fate == 2:
            return operations.InsertFailed(may_have_applied=True)
        present = tuple(
            self.rows[claim.operation]
            for claim in claims
            if claim.operation in self.rows
        )
        if present:
            return operations.InsertConflicted(present)
        self.rows.update((claim.operation, claim) for claim in claims)
        if fate == 3:
            return operations.InsertFailed(may_have_applied=True)
        return operations.InsertApplied()

    def remove(
        self, claim: operations.Claim, fate: int
    ) -> operations.OperationEvent:
        if fate in {1, 2}:
            return operations.RemoveEnded(claim, is_settled=False)
        if self.rows.get(claim.operation) == claim:
            self.rows.pop(claim.operation)
        return operations.RemoveEnded(claim, is_settled=fate != 3)


class _Daemon:
    """Run the operations whose claims are won."""

    def __init__(self, table: _Table, ran: list[str]) -> None:
        self.operation_claims = operations.OperationClaims()
        self.table = table
        self.ran = ran
        self.pending: list[operations.OperationCommand] = []
        self.running: list[operations.Claim] = []
        self.refusals: list[operations.OperationCommand] = []

    def feed(self, event: operations.OperationEvent) -> None:
        for command in self.operation_claims.handle(event):
            match command:
                case operations.InsertClaims() | operations.RemoveClaim():
                    self.pending.append(command)
                case operations.ClaimWon(claim):
                    self.running.append(claim)
                case _:
                    self.refusals.append(command)

    def execute_next(self, fate: int) -> None:
        if not self.pending:
            self.pending.extend(
                map(
                    operations.RemoveClaim,
                    self.operation_claims.pending_removals,
                )
            )
            return
        match self.pending.pop(0):
            case operations.InsertClaims(claims):
                self.feed(self.table.insert(claims, fate))
            case operations.RemoveClaim(claim):
                self.feed(self.table.remove(claim, fate))

    def finish(self, *, may_have_run: bool) -> None:
        if self.running:
            claim = self.running.pop(0)
            if may_have_run:
                self.ran.append(claim.operation)
            self.feed(operations.ClaimEnded(claim, may_have_run))


class OperationsTest(testtools.TestCase):
    """Each response of the table leads to the right decision."""

    def setUp(self) -> None:
        super().setUp()
        self.operation_claims = operations.OperationClaims()

    def test_waiting_claims_are_batched(self) -> None:
        self.assertEqual(
            (operations.InsertClaims((A,)),),
            self.operation_claims.handle(operations.ClaimRequested(A)),
        )
        self.assertEqual(
            (), self.operation_claims.handle(operations.ClaimRequested(C))
        )
        self.assertEqual(
            (operations.ClaimWon(A), operations.InsertClaims((C,))),
            self.operation_claims.handle(operations.InsertApplied()),
        )

    def test_own_nonce_in_a_conflict_wins(self) -> None:
        self.operation_claims.handle(operations.ClaimRequested(A))
        self.assertEqual(
            (operations.ClaimWon(A),),
            self.operation_claims.handle(operations.InsertConflicted((A,))),
        )

    def test_conflict_with_another_nonce_refuses_the_claim(self) -> None:
        self.operation_claims.handle(operations.ClaimRequested(C))
        self.operation_claims.handle(operations.ClaimRequested(A))
        self.operation_claims.handle(operations.InsertApplied())
        self.assertEqual(
            (operations.ClaimTaken(A),),
            self.operation_claims.handle(operations.InsertConflicted((B,))),
        )

    def test_duplicate_in_this_daemon_is_refused_without_a_write(self) -> None:
        self.operation_claims.handle(operations.ClaimRequested(A))
        self.operation_claims.handle(operations.ClaimRequested(B))
        self.assertEqual(
            (operations.ClaimWon(A), operations.ClaimTaken(B)),
            self.operation_claims.handle(operations.InsertApplied()),
        )
        self.operation_claims.handle(
            operations.ClaimEnded(A, may_have_run=True)
        )
        self.assertEqual(
            (operations.ClaimTaken(B),),
            self.operation_claims.handle(operations.ClaimRequested(B)),
        )

    def test_claim_is_removed_when_nothing_ran(self) -> None:
        self.operation_claims.handle(operations.ClaimRequested(A))
        self.operation_claims.handle(operations.InsertApplied())
        self.assertEqual(
            (operations.RemoveClaim(A),),
            self.operation_claims.handle(
                operations.ClaimEnded(A, may_have_run=False)
            ),
        )

    def test_abandoned_claim_is_removed(self) -> None:
        self.operation_claims.handle(operations.ClaimRequested(A))
        self.operation_claims.handle(operations.ClaimAbandoned(A))
        self.assertEqual(
            (operations.RemoveClaim(A),),
            self.operation_claims.handle(operations.InsertApplied()),
        )

    def test_operation_ids_of_different_keys_differ(self) -> None:
        self.assertNotEqual(
            operations.make_operation_id('a', 'bc'),
            operations.make_operation_id('ab', 'c'),
        )


class OperationsPropertyTest(testtools.TestCase):
    """Two daemons race, with lost responses, crashes and removed claims."""

    @settings(derandomize=True, deadline=None, database=None, max_examples=400)
    @given(
        steps=st.lists(
            st.tuples(
                st.sampled_from(
                    ('ask', 'work', 'work', 'ran', 'idle', 'drop', 'crash')
                ),
                st.integers(0, 1),
                st.integers(0, 5),
            ),
            max_size=60,
        )
    )
    def test_never_runs_twice(self, steps: list[tuple[str, int, int]]) -> None:
        table = _Table()
        ran: list[str] = []
        daemons = [_Daemon(table, ran), _Daemon(table, ran)]
        asked: list[operations.Claim] = []
        for action, number, fate in steps:
            daemon = daemons[number]
            if action == 'ask':
                asked.append(
                    operations.Claim(f'op{fate % 2}', f'n{len(asked)}')
                )
                daemon.feed(operations.ClaimRequested(asked[-1]))
            elif action == 'drop' and asked:
                claim = asked[fate % len(asked)]
                if claim not in daemon.running:
                    daemon.feed(operations.ClaimAbandoned(claim))
            elif action == 'work':
                daemon.execute_next(fate)
            elif action == 'crash':
                ran.extend(claim.operation for claim in daemon.running)
                daemons[number] = _Daemon(table, ran)
            elif action in {'ran', 'idle'}:
                daemon.finish(may_have_run=action == 'ran')
            running = [
                claim.operation
                for daemon in daemons
                for claim in daemon.running
            ]
            self.assertEqual(len(set(ran + running)), len(ran + running))
