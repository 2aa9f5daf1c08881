"""Runs every experiment, writes the results and prints a table.

Each module named in `MODULES` offers `run(seed, quick)` and returns its
figures. The exit code is 0 even when a bound is missed: a miss is printed
and stays in the results. Any other error ends the run with a traceback.
"""

import argparse
import json
from collections.abc import Sequence
from dataclasses import asdict
from importlib import import_module
from importlib.util import find_spec
from pathlib import Path
from typing import Protocol, cast

from experiments.figures import Figures, missed

SEED = 20261
MODULES = ('flow', 'rates', 'surge', 'added', 'live')
RESULTS = Path(__file__).parent.parent / 'results.json'


class Experiments(Protocol):
    """Offer a group of experiments."""

    def run(self, seed: int, quick: bool) -> Sequence[Figures]:
        """Run the group; return the figures of each experiment."""


def main() -> None:
    """Run what the command line asks for."""
    options = _options()
    results: list[Figures] = []
    for name in options.only or MODULES:
        module = _find(name)
        if module is None:
            print(f'{name}: not in this tree, not run')
            continue
        results.extend(module.run(options.seed, options.quick))
    if not options.only:
        _write(results, options.seed, options.quick)
    _print_table(results)
    _print_missed(results)


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--quick', action='store_true', help='shorter runs')
    parser.add_argument('--seed', type=int, default=SEED)
    parser.add_argument(
        '--only',
        action='append',
        choices=MODULES,
        help='run one group and leave the results file as it is',
    )
    return parser.parse_args()


def _find(name: str) -> Experiments | None:
    path = f'experiments.{name}'
    if find_spec(path) is None:
        return None
    return cast(Experiments, import_module(path))


def _write(results: list[Figures], seed: int, quick: bool) -> None:
    document = {
        'seed': seed,
        'quick': quick,
        'experiments': [
            {**asdict(figures), 'missed': missed(figures)}
            for figures in results
        ],
    }
    with RESULTS.open('w') as results_file:
        json.dump(document, results_file, indent=1)


def _print_table(results: list[Figures]) -> None:
    for figures in results:
        print(figures.experiment)
        baseline = figures.baseline.measured() if figures.baseline else {}
        for name, number in figures.measured().items():
            against = baseline.get(name)
            shown = '-' if against is None else f'{against:.4g}'
            print(f'  {name:28}{number:>12.4g}   baseline {shown:>10}')


def _print_missed(results: list[Figures]) -> None:
    misses = [
        f'{figures.experiment}: {line}'
        for figures in results
        for line in missed(figures)
    ]
    print(f'missed bounds: {len(misses)}')
    for line in misses:
        print(f'  {line}')


if __name__ == '__main__':
    main()
