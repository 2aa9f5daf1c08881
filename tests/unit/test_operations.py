"""Check that no operation runs twice, whatever the table answers."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyknot.decisions import operations as once

A = once.Claim('op', 'a')
B = once.Claim('op', 'b')
C = once.Claim('other', 'c')


class _Table:
    """Insert and remove rows; lose answers before or after the write."""

    def __init__(self) -> None:
        self.rows: dict[str, once.Claim] = {}

    def insert(
        self, claims: tuple[once.Claim, ...], fate: int
    ) -> once.OperationEvent:
        if fate == 1:
            return once.InsertFailed(may_have_applied=False)
        if fate == 2:
            return once.InsertFailed(may_have_applied=True)
        present = tuple(
            self.rows[claim.operation]
            for claim in claims
            if claim.operation in self.rows
        )
        if present:
            return once.InsertConflicted(present)
        self.rows.update((claim.operation, claim) for claim in claims)
        if fate == 3:
            return once.InsertFailed(may_have_applied=True)
        return once.InsertApplied()

    def remove(self, claim: once.Claim, fate: int) -> once.OperationEvent:
        if fate in {1, 2}:
            return once.RemoveEnded(claim, is_settled=False)
        if self.rows.get(claim.operation) == claim:
            self.rows.pop(claim.operation)
        return once.RemoveEnded(claim, is_settled=fate != 3)


class _Daemon:
    """Run the operations that a machine lets run."""

    def __init__(self, table: _Table, ran: list[str]) -> None:
        self.machine = once.Operations()
        self.table = table
        self.ran = ran
        self.pending: list[once.OperationCommand] = []
        self.running: list[once.Claim] = []
        self.told: list[once.OperationCommand] = []

    def feed(self, event: once.OperationEvent) -> None:
        for command in self.machine.handle(event):
            match command:
                case once.InsertClaims() | once.RemoveClaim():
                    self.pending.append(command)
                case once.ClaimWon(claim):
                    self.running.append(claim)
                case _:
                    self.told.append(command)

    def work(self, fate: int) -> None:
        if not self.pending:
            self.pending.extend(map(once.RemoveClaim, self.machine.unremoved))
            return
        match self.pending.pop(0):
            case once.InsertClaims(claims):
                self.feed(self.table.insert(claims, fate))
            case once.RemoveClaim(claim):
                self.feed(self.table.remove(claim, fate))

    def end(self, *, may_have_run: bool) -> None:
        if self.running:
            claim = self.running.pop(0)
            if may_have_run:
                self.ran.append(claim.operation)
            self.feed(once.ClaimEnded(claim, may_have_run))


class OperationsTest(testtools.TestCase):
    """Each answer of the table leads to the right decision."""

    def setUp(self) -> None:
        super().setUp()
        self.machine = once.Operations()

    def test_claims_that_wait_go_together(self) -> None:
        self.assertEqual(
            (once.InsertClaims((A,)),), self.machine.handle(once.ClaimAsked(A))
        )
        self.assertEqual((), self.machine.handle(once.ClaimAsked(C)))
        self.assertEqual(
            (once.ClaimWon(A), once.InsertClaims((C,))),
            self.machine.handle(once.InsertApplied()),
        )

    def test_own_nonce_in_a_conflict_wins(self) -> None:
        self.machine.handle(once.ClaimAsked(A))
        self.assertEqual(
            (once.ClaimWon(A),),
            self.machine.handle(once.InsertConflicted((A,))),
        )

    def test_conflict_takes_one_and_sends_the_others_again(self) -> None:
        self.machine.handle(once.ClaimAsked(C))
        self.machine.handle(once.ClaimAsked(A))
        self.machine.handle(once.InsertApplied())
        self.assertEqual(
            (once.ClaimTaken(A),),
            self.machine.handle(once.InsertConflicted((B,))),
        )

    def test_duplicate_in_this_daemon_costs_no_write(self) -> None:
        self.machine.handle(once.ClaimAsked(A))
        self.machine.handle(once.ClaimAsked(B))
        self.assertEqual(
            (once.ClaimWon(A), once.ClaimTaken(B)),
            self.machine.handle(once.InsertApplied()),
        )
        self.machine.handle(once.ClaimEnded(A, may_have_run=True))
        self.assertEqual(
            (once.ClaimTaken(B),), self.machine.handle(once.ClaimAsked(B))
        )

    def test_claim_is_removed_when_nothing_ran(self) -> None:
        self.machine.handle(once.ClaimAsked(A))
        self.machine.handle(once.InsertApplied())
        self.assertEqual(
            (once.RemoveClaim(A),),
            self.machine.handle(once.ClaimEnded(A, may_have_run=False)),
        )

    def test_abandoned_claim_is_removed(self) -> None:
        self.machine.handle(once.ClaimAsked(A))
        self.machine.handle(once.ClaimAbandoned(A))
        self.assertEqual(
            (once.RemoveClaim(A),), self.machine.handle(once.InsertApplied())
        )

    def test_names_of_operations_do_not_run_together(self) -> None:
        self.assertNotEqual(
            once.name_operation('a', 'bc'), once.name_operation('ab', 'c')
        )


class OperationsPropertyTest(testtools.TestCase):
    """Two daemons race with lost answers, crashes and releases."""

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
        asked: list[once.Claim] = []
        for action, number, fate in steps:
            daemon = daemons[number]
            if action == 'ask':
                asked.append(once.Claim(f'op{fate % 2}', f'n{len(asked)}'))
                daemon.feed(once.ClaimAsked(asked[-1]))
            elif action == 'drop' and asked:
                claim = asked[fate % len(asked)]
                if claim not in daemon.running:
                    daemon.feed(once.ClaimAbandoned(claim))
            elif action == 'work':
                daemon.work(fate)
            elif action == 'crash':
                ran.extend(claim.operation for claim in daemon.running)
                daemons[number] = _Daemon(table, ran)
            elif action in {'ran', 'idle'}:
                daemon.end(may_have_run=action == 'ran')
            running = [
                claim.operation
                for daemon in daemons
                for claim in daemon.running
            ]
            self.assertEqual(len(set(ran + running)), len(ran + running))
