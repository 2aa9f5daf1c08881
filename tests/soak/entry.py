"""Run a daemon whose address for peers is that of a relay.

Its settings hold the relay's address, which it tells other daemons; it
listens at the address behind the relay. A guard may be taken out.
"""

import sys
from importlib import import_module
from pathlib import Path
from typing import Any

TESTS = Path(__file__).parents[1]
PLATFORM = TESTS.parent / 'platform'


def listen_behind(told: str, bound: str) -> None:
    """Listen at `bound` where the settings say `told`, both as IP:port."""
    host: Any = import_module('dragonflyknot.daemon.sitehost')
    serving = host.serving

    def moved(ip: str, port: int, *others: Any) -> Any:
        address = bound if f'{ip}:{port}' == told else f'{ip}:{port}'
        number, _colon, text = address.rpartition(':')
        return serving(number, int(text), *others)

    host.serving = moved


def main(told: str, bound: str, *guards: str) -> int:
    """Run the daemon; return its exit code."""
    sys.path[:0] = [str(PLATFORM), str(TESTS)]
    import_module('adapter.packageinit').skip_package_init('aiohttp')
    listen_behind(told, bound)
    for guard in guards:
        import_module('soak.mutants').take_out(guard)
    return int(import_module('adapter.main').main())


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:]))
