"""Start processes of the product and stop them by their pid."""

import asyncio
import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

STOP_TIMEOUT_S = 30


@dataclass(slots=True)
class Process:
    """Own one running process and its log file."""

    name: str
    process: asyncio.subprocess.Process
    log: Path

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.process.pid

    @property
    def is_running(self) -> bool:
        """Tell whether the process has not ended yet."""
        return self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        if self.is_running:
            self.process.send_signal(number)

    async def stop(self) -> int:
        """Ask the process to stop; kill it after `STOP_TIMEOUT_S`."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            return await self.kill()

    async def kill(self) -> int:
        """Kill the process."""
        self.send(signal.SIGKILL)
        return await self.process.wait()

    def lines(self) -> list[str]:
        """Return the lines that the process has logged."""
        return self.log.read_text(errors='replace').splitlines()


async def start_module(
    name: str, module: str, arguments: list[str], folder: Path
) -> Process:
    """Start `python -m module` with its logs in a folder."""
    command = [sys.executable, '-m', module, *arguments]
    return await start_program(name, command, folder, {})


async def start_program(
    name: str, command: list[str], folder: Path, environ: dict[str, str]
) -> Process:
    """Start a program with its logs in a folder."""
    log = folder / f'{name}.log'
    with log.open('ab') as stream:
        process = await asyncio.create_subprocess_exec(
            *command,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=stream,
            stderr=stream,
            env={**os.environ, 'PYTHONDONTWRITEBYTECODE': '1', **environ},
        )
    return Process(name, process, log)
