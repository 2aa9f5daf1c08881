"""A process of many clients that send one form and read no answers.

Arguments: IP:port, the number of clients and the name of the form. Each line
that it prints holds the number of clients that were closed, and then 1 once
no client sends on: each was closed, has sent all, or is held up.
"""

import contextlib
import socket
import sys
import time
from dataclasses import dataclass

from clients.forms import FORMS_BY_NAME, Form

HELD_UP_S = 3.0
# So little that an answer soon waits at the daemon's side.
RECEIVE_BYTES = 4096
ROUND_S = 0.002
REPORT_S = 0.2
MOST_BYTES_A_ROUND = 64 * 1024


@dataclass
class Client:
    """Hold one connection and how far it has come."""

    link: socket.socket
    form: Form
    pending: bytes
    sent_bytes: int = 0
    is_closed: bool = False
    next_part_at: float = 0

    def send(self, now: float) -> bool:
        """Send what the connection takes; return whether anything went."""
        sent_before = self.sent_bytes
        try:
            while self._has_more(now):
                count = self.link.send(self.pending)
                self.sent_bytes += count
                self.pending = self.pending[count:]
                if self.sent_bytes - sent_before > MOST_BYTES_A_ROUND:
                    break
        except BlockingIOError:
            pass
        except OSError:
            self.is_closed = True
        return self.sent_bytes > sent_before

    def look(self) -> None:
        """Notice a close by the other side; what it sent stays unread."""
        try:
            if self.link.recv(1, socket.MSG_PEEK) == b'':
                self.is_closed = True
        except BlockingIOError:
            pass
        except OSError:
            self.is_closed = True

    def _has_more(self, now: float) -> bool:
        if self.pending:
            return True
        if self.sent_bytes >= self.form.most_bytes or now < self.next_part_at:
            return False
        self.pending = self.form.part
        self.next_part_at = now + self.form.pause_s
        return bool(self.pending)


def main(address: str, count: str, name: str) -> None:
    """Open the connections, send, and report until the process is killed."""
    ip, _colon, port = address.rpartition(':')
    form = FORMS_BY_NAME[name]
    clients = []
    for _number in range(int(count)):
        link = socket.socket()
        link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        link.connect((ip, int(port)))
        link.setblocking(False)
        clients.append(Client(link, form, form.start))
    _press(clients)


def _press(clients: list[Client]) -> None:
    last_sent_at = reported_at = time.monotonic()
    while True:
        now = time.monotonic()
        sent = [one.send(now) for one in clients if not one.is_closed]
        if any(sent):
            last_sent_at = now
        if now - reported_at > REPORT_S:
            reported_at = now
            _report(clients, has_pressed=now - last_sent_at > HELD_UP_S)
        time.sleep(ROUND_S)


def _report(clients: list[Client], *, has_pressed: bool) -> None:
    for one in clients:
        one.look()
    closed = sum(one.is_closed for one in clients)
    sys.stdout.write(f'{closed} {int(has_pressed)}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    with contextlib.suppress(KeyboardInterrupt):
        main(*sys.argv[1:])
