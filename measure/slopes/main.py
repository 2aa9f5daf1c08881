"""Measure every slope that docs/CAPACITY.md is worked out from.

Each module named in `MODULES` offers `measure(large)`. `--only` runs some of
them; `--large` adds gossip at 21,000 members, which takes four minutes.
"""

import argparse
import json
from collections.abc import Iterable
from dataclasses import asdict
from importlib import import_module
from importlib.util import find_spec
from pathlib import Path
from typing import Protocol, cast

from slopes.slope import Slope

MODULES = ('sitepath', 'requests', 'flow', 'rates', 'state')
RESULTS = Path(__file__).parent.parent / 'slopes.json'


class Slopes(Protocol):
    """Offer a group of slopes."""

    def measure(self, large: bool) -> Iterable[Slope]:
        """Measure the group, at the largest size too."""


def main() -> None:
    """Run what the command line asks for and print the slopes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--only', action='append', choices=MODULES)
    parser.add_argument('--large', action='store_true')
    options = parser.parse_args()
    measured: list[Slope] = []
    for name in options.only or MODULES:
        path = f'slopes.{name}'
        if find_spec(path) is None:
            print(f'{name}: not in this tree, not run')
            continue
        measured.extend(
            cast(Slopes, import_module(path)).measure(options.large)
        )
    for slope in measured:
        print(f'{slope.figure:>12.4g} {slope.unit:<12}{slope.name}')
    if not options.only:
        rows = [asdict(slope) for slope in measured]
        RESULTS.write_text(json.dumps(rows, indent=1))


if __name__ == '__main__':
    main()
