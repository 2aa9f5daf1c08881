"""Run the stand-in: `python -m dragonflyknot.stores.standin --port N`."""

import argparse
import asyncio
import signal

from dragonflyknot.stores.standin.server import LOOPBACK, Standin


async def serve(address: str, port: int) -> None:
    """Serve until SIGTERM or SIGINT, and print the endpoint first."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    async with Standin(port, address) as standin:
        print(standin.endpoint, flush=True)
        await stopped.wait()


def main() -> None:
    """Read the flags and serve."""
    parser = argparse.ArgumentParser(prog='standin')
    parser.add_argument('--address', default=LOOPBACK)
    parser.add_argument('--port', type=int, default=0)
    flags = parser.parse_args()
    asyncio.run(serve(flags.address, flags.port))


if __name__ == '__main__':
    main()
