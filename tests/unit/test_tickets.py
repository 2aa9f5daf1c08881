"""Check that a ticket is spent once and is unknown without its guard."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyknot.decisions import tickets


def _spending(ticket: tickets.Ticket, nonce: str) -> tickets.Spending:
    return tickets.Spending(ticket, 'w', nonce)


class TicketTest(testtools.TestCase):
    """A ticket is spent by one request at a time."""

    def setUp(self) -> None:
        super().setUp()
        self.guard = tickets.TicketGuard('h', 7, max_epoch_tickets=4)
        self.ticket = self.guard.issue('s', 0)

    def test_ticket_is_parsed_from_its_text(self) -> None:
        self.assertEqual(self.ticket, tickets.parse_ticket(str(self.ticket)))
        for text in ('', 'plain', 'ticket:h:x:0:s', 'ticket:h:٣:0:s'):
            self.assertIsNone(tickets.parse_ticket(text))

    def test_same_request_wins_again_and_others_do_not(self) -> None:
        first = _spending(self.ticket, 'a')
        self.assertEqual(tickets.TicketWon(), self.guard.spend(first, 0))
        self.assertEqual(tickets.TicketWon(), self.guard.spend(first, 0))
        second = _spending(self.ticket, 'b')
        self.assertEqual(tickets.TicketTaken(), self.guard.spend(second, 0))

    def test_released_ticket_serves_another_request(self) -> None:
        first = _spending(self.ticket, 'a')
        self.guard.spend(first, 0)
        self.guard.release(_spending(self.ticket, 'b'))
        second = _spending(self.ticket, 'c')
        self.assertEqual(tickets.TicketTaken(), self.guard.spend(second, 0))
        self.guard.release(first)
        self.assertEqual(tickets.TicketTaken(), self.guard.spend(first, 0))
        self.assertEqual(tickets.TicketWon(), self.guard.spend(second, 0))

    def test_ticket_of_another_incarnation_is_unknown(self) -> None:
        later = tickets.TicketGuard('h', 8)
        spending = _spending(self.ticket, 'a')
        self.assertEqual(tickets.TicketUnknown(), later.spend(spending, 0))

    def test_expired_ticket_is_unknown_and_memory_is_bounded(self) -> None:
        spending = _spending(self.ticket, 'a')
        for number in range(500):
            ticket = self.guard.issue(f's{number}', 0)
            self.guard.spend(_spending(ticket, 'n'), 0)
        self.assertEqual(tickets.TicketUnknown(), self.guard.spend(spending, 0))
        self.assertTrue(len(self.guard) <= 4 * tickets.RETAINED_EPOCHS)

    @settings(derandomize=True, deadline=None, database=None)
    @given(
        steps=st.lists(
            st.tuples(
                st.sampled_from(('spend', 'ran', 'idle', 'double')),
                st.integers(0, 5),
                st.integers(0, 200),
            ),
            max_size=40,
        )
    )
    def test_never_runs_twice(self, steps: list[tuple[str, int, int]]) -> None:
        guard = tickets.TicketGuard('h', 7)
        ticket = guard.issue('s', 0)
        now = 0.0
        asked: list[str] = []
        running: list[str] = []
        ran: list[str] = []
        for action, number, wait_s in steps:
            now += wait_s
            if action == 'spend':
                asked.append(f'n{len(asked)}')
                answer = guard.spend(_spending(ticket, asked[-1]), now)
                if answer == tickets.TicketWon():
                    running.append(asked[-1])
            elif action == 'double' and asked:
                nonce = asked[number % len(asked)]
                guard.spend(_spending(ticket, nonce), now)
            elif action == 'ran' and running:
                ran.append(running.pop())
            elif action == 'idle' and running:
                guard.release(_spending(ticket, running.pop()))
            self.assertTrue(len(ran) + len(running) <= 1)
