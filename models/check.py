"""Run the model checker over every model and report what it found.

`check.py` runs each search and fails on a violation or on a search that was
not exhaustive. `check.py --mutants` takes out one guard at a time and fails
when a mutant is not caught. Spin generates a verifier, gcc compiles it and
the verifier explores every state without hash compaction.
"""

import argparse
import re
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from catalogue import MUTANTS, SEARCHES, Claim, Mutant, Search

_MODELS = Path(__file__).resolve().parent
_PROCESSES = 4
_MEMORY_MB = 3000
_DEPTH_STEPS = 3_000_000
_TIMEOUT_S = 170
_STATES = re.compile(r'^\s*(\d+) states, stored', re.MULTILINE)
_ERRORS = re.compile(r'errors: (\d+)')
_VIOLATION = re.compile(
    r'^pan:\d+: (assertion violated.*|invalid end state'
    r'|acceptance cycle|non-progress cycle)',
    re.MULTILINE,
)
_TRUNCATED = re.compile(
    r'max search depth too small|Search not completed|out of memory'
    r'|reached -DMEMLIM',
    re.IGNORECASE,
)


@dataclass(frozen=True, slots=True)
class Verdict:
    """Report one search: states, the violation if any, and its time."""

    search: Search
    states: int
    violation: str
    truncated: bool
    duration_s: float


class CheckerError(Exception):
    """Report that spin, gcc or the verifier could not run."""


def main() -> int:
    """Run all searches, or all mutants, and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--mutants',
        action='store_true',
        help='check that every model fails without each of its guards',
    )
    parser.add_argument('--only', default='', help='run one model alone')
    options = parser.parse_args()
    if options.mutants:
        return _check_mutants(options.only)
    return _check_searches(options.only)


def _check_searches(only: str) -> int:
    searches = [search for search in SEARCHES if only in {'', search.model}]
    verdicts = _run_all(searches)
    _print_all(verdicts)
    states = sum(verdict.states for verdict in verdicts)
    bad = [verdict for verdict in verdicts if _is_bad(verdict)]
    print(
        f'{len(verdicts)} searches, {states} states,'
        f' {len(bad)} violated or truncated',
    )
    return 1 if bad else 0


def _check_mutants(only: str) -> int:
    mutants = [
        mutant for mutant in MUTANTS if only in {'', mutant.search.model}
    ]
    verdicts = _run_all([_mutated(mutant) for mutant in mutants])
    _print_all(verdicts)
    caught = [
        verdict
        for verdict in verdicts
        if verdict.violation and not verdict.truncated
    ]
    print(f'{len(mutants)} mutants, {len(caught)} caught')
    return 0 if len(caught) == len(mutants) else 1


def _mutated(mutant: Mutant) -> Search:
    return Search(
        model=mutant.search.model,
        name=f'{mutant.search.name} with {mutant.guard}',
        claim=mutant.search.claim,
        macros=(*mutant.search.macros, mutant.guard),
    )


def _run_all(searches: list[Search]) -> list[Verdict]:
    with ThreadPoolExecutor(max_workers=_PROCESSES) as pool:
        return list(pool.map(_run, searches))


def _run(search: Search) -> Verdict:
    started = time.monotonic()
    with tempfile.TemporaryDirectory(prefix='dragonflyknot-model-') as folder:
        directory = Path(folder)
        _generate(search, directory)
        _compile(search, directory)
        output = _verify(search, directory)
    return _read(search, output, time.monotonic() - started)


def _generate(search: Search, directory: Path) -> None:
    macros = [f'-D{macro}' for macro in search.macros]
    source = _MODELS / f'{search.model}.pml'
    _call(['spin', *macros, '-a', str(source)], directory)


def _compile(search: Search, directory: Path) -> None:
    defines = ['-DCOLLAPSE', f'-DMEMLIM={_MEMORY_MB}', '-w']
    match search.claim:
        case Claim.SAFETY:
            defines.append('-DSAFETY')
        case Claim.ENDING:
            defines.append('-DNP')
        case Claim.LIVENESS:
            defines.append('-DNFAIR=3')
    _call(['gcc', '-O2', *defines, '-o', 'pan', 'pan.c'], directory)


def _verify(search: Search, directory: Path) -> str:
    options = ['-b', '-n', f'-m{_DEPTH_STEPS}']
    match search.claim:
        case Claim.SAFETY:
            pass  # The verifier looks for assertions and end states alone.
        case Claim.ENDING:
            options.append('-l')
        case Claim.LIVENESS:
            options.extend(('-a', '-f'))
    return _call(['./pan', *options], directory)


def _call(command: list[str], directory: Path) -> str:
    try:
        finished = subprocess.run(
            command,
            cwd=directory,
            capture_output=True,
            text=True,
            timeout=_TIMEOUT_S,
            check=False,
        )
    except FileNotFoundError as missing:
        raise CheckerError(
            f'{command[0]} is missing; run `make spin` first.',
        ) from missing
    except subprocess.TimeoutExpired as expired:
        raise CheckerError(
            f'{command[0]} took over {_TIMEOUT_S} s; make the model smaller.',
        ) from expired
    if finished.returncode and command[0] != './pan':
        raise CheckerError(f'{command}: {finished.stdout}{finished.stderr}')
    return finished.stdout + finished.stderr


def _read(search: Search, output: str, duration_s: float) -> Verdict:
    states = _STATES.search(output)
    errors = _ERRORS.search(output)
    if states is None or errors is None:
        raise CheckerError(f'{search.model}: no figures in {output}')
    found = _VIOLATION.search(output)
    violation = found.group(1) if found and int(errors.group(1)) else ''
    stopped_early = _TRUNCATED.search(output) and not violation
    unexplained = int(errors.group(1)) and not violation
    return Verdict(
        search=search,
        states=int(states.group(1)),
        violation=violation,
        truncated=bool(stopped_early or unexplained),
        duration_s=duration_s,
    )


def _is_bad(verdict: Verdict) -> bool:
    return bool(verdict.violation) or verdict.truncated


def _print_all(verdicts: list[Verdict]) -> None:
    for verdict in verdicts:
        _print_verdict(verdict)


def _print_verdict(verdict: Verdict) -> None:
    if verdict.truncated:
        finding = 'search truncated'
    else:
        finding = verdict.violation or 'holds'
    print(
        f'{verdict.search.model}, {verdict.search.name}'
        f' ({verdict.search.claim.value}): {verdict.states} states,'
        f' {verdict.duration_s:.1f} s: {finding}',
    )


if __name__ == '__main__':
    try:
        sys.exit(main())
    except CheckerError as error:
        sys.exit(str(error))
