"""A stand-in of a target: it runs requests and announces itself."""

import asyncio
import json
import time
from collections.abc import Callable

import http1

HEARTBEAT_S = 1.5
ACK_S = 1.0


class Target:
    """Run requests beside one daemon; `record` is told of each run."""

    def __init__(
        self,
        instance: str,
        service: str,
        address: str,
        admin: str,
        record: Callable[..., None],
        *,
        work_s: float = 0.02,
        slots: int = 50,
    ) -> None:
        """Prepare a target that has not started."""
        self.instance = instance
        self.service = service
        self.address = address
        self.admin = admin
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.state = 'ready'
        self.born = 0
        self.sequence = 0
        self.is_leaving = False
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen; from now on requests are run."""
        self.born = int(time.time() * 1000)
        self._server = await http1.serve(self.address, self._handle)

    def beat_on(self) -> None:
        """Send a heartbeat now and at intervals."""
        self._beats = asyncio.create_task(self._beat_on())

    def stop_beats(self) -> None:
        """Send no more heartbeats."""
        if self._beats is not None:
            self._beats.cancel()
            self._beats = None

    def stop(self) -> None:
        """End, as after the target's exit."""
        self.stop_beats()
        if self._server is not None:
            self._server.close()

    def heartbeat(self) -> bytes:
        """Return the next heartbeat, to be sent now or later."""
        self.sequence += 1
        body = {
            'service': self.service,
            'address': self.address,
            'zone': 'a',
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_left': '0ms',
            'sequence': self.sequence,
            'born': self.born,
        }
        return http1.encode(
            f'POST /Instances.Heartbeat/{self.instance} HTTP/1.1',
            {'Host': 'admin', 'Content-Type': 'application/json'},
            json.dumps(body).encode(),
        )

    async def send(self, content: bytes, what: str) -> bool:
        """Send a call to the daemon; return whether it acknowledged it."""
        answer = await http1.exchange(self.admin, content, ACK_S)
        status = None if answer is None else answer.status
        self.record(what, instance=self.instance, status=status)
        return status == 200

    async def deregister(self) -> bool:
        """Say that this target leaves, without a body, as `wire` shows it."""
        content = (
            f'POST /Instances.Deregister/{self.instance} HTTP/1.1\r\n'
            'Host: admin\r\nContent-Length: 0\r\n\r\n'
        )
        return await self.send(content.encode(), 'deregister')

    async def _beat_on(self) -> None:
        while True:
            await self.send(self.heartbeat(), 'heartbeat')
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(self, request: http1.Message) -> bytes:
        headers = request.headers
        if request.target == '/healthz':
            status = 503 if self.is_leaving else 200
            return http1.encode(
                f'HTTP/1.1 {status} Health', {'Instance-Id': self.instance}
            )
        attempt = headers.get('attempt-id', '')
        expected = headers.get('expected-instance', self.instance)
        if expected != self.instance:
            return http1.encode(
                'HTTP/1.1 421 Misdirected Request',
                {'Attempt-Id': attempt, 'Instance-Id': self.instance},
            )
        self.record(
            'run',
            instance=self.instance,
            attempt=attempt,
            tenant=headers.get('tenant-id'),
            caller=headers.get('caller-service'),
            bytes=len(request.body),
        )
        await asyncio.sleep(self.work_s)
        return http1.encode(
            'HTTP/1.1 200 OK',
            {'Attempt-Id': attempt, 'Response-Signature': f's-{attempt}'},
            f'{self.instance} {attempt}'.encode(),
        )
