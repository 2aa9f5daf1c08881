"""Check that the pages and the code name the same things."""

import re
import subprocess
from pathlib import Path

import testtools

from dragonflyknot.daemon import metrics
from dragonflyknot.daemon.options import OPTIONS
from dragonflyknot.decisions.refusals import Refusal, rule_of
from dragonflyknot.exchange.tally import Tally, WorkspaceRefusal
from dragonflyknot.operators import document
from dragonflyknot.operators.main import COMMANDS

ROOT = Path(__file__).parents[2]
OPERATIONS = ROOT / 'docs' / 'operations'
LINK = re.compile(r'\]\(([^)#\s]+)(#[^)]*)?\)')
FIRST_CELL = re.compile(r'^\| `([^`]+)` \|', re.MULTILINE)


def first_cells(page: str) -> set[str]:
    """Return the code in the first cell of each table row of a page."""
    return set(FIRST_CELL.findall((OPERATIONS / page).read_text()))


def sample_tally() -> Tally:
    """Return a tally that has counted one of everything."""
    tally = Tally(retries=1, resolves=1, broken_answers=1, cancelled=1)
    tally.admitted_by_workspace['WORKSPACE'] = 1
    tally.answered_by_workspace['WORKSPACE'] = 1
    tally.refused_by_workspace[WorkspaceRefusal('WORKSPACE', Refusal.RATE)] = 1
    tally.gate_refused_by_kind[Refusal.RATE] = 1
    return tally


class LinkTest(testtools.TestCase):
    """Links of the pages lead somewhere."""

    def test_relative_links_exist(self) -> None:
        listed = subprocess.run(
            ['git', 'ls-files', '*.md'],
            cwd=ROOT,
            check=True,
            capture_output=True,
            text=True,
        )
        broken = [
            f'{page}: {target}'
            for page in listed.stdout.split()
            for target, _ in LINK.findall((ROOT / page).read_text())
            if '://' not in target
            and not (ROOT / page).parent.joinpath(target).exists()
        ]
        self.assertEqual([], broken)


class ReferenceTest(testtools.TestCase):
    """Each table of a reference page matches the code, both ways."""

    def test_flags(self) -> None:
        flags = {f'--{option.name}' for option in OPTIONS}
        self.assertEqual(flags, first_cells('deployment.md'))

    def test_variables(self) -> None:
        page = (OPERATIONS / 'deployment.md').read_text()
        for option in OPTIONS:
            self.assertIn(f'`{option.variable}`', page)

    def test_refusal_kinds(self) -> None:
        page = (OPERATIONS / 'callers.md').read_text()
        rows = re.findall(
            r'^\| `([a-z-]+)` \| (\d+) \| ([a-z-]+)', page, re.MULTILINE
        )
        documented = {kind: (int(status), word) for kind, status, word in rows}
        expected = {
            refusal.value: (
                rule_of(refusal).status,
                rule_of(refusal).outcome.value,
            )
            for refusal in Refusal
        }
        self.assertEqual(expected, documented)

    def test_metrics(self) -> None:
        names = {
            name.replace(f'.{Refusal.RATE.value}', '.KIND')
            for name in metrics.counts_by_name(sample_tally())
        }
        names |= {
            metrics.IN_FLIGHT,
            metrics.MEMBERS,
            metrics.REVISION,
            metrics.KEY_AGE_MS,
            metrics.LINK_BYTES,
        }
        self.assertEqual(names, first_cells('metrics.md'))

    def test_document_fields(self) -> None:
        models = (
            document.WorkspaceModel,
            document.ServiceModel,
            document.RouteModel,
            document.OpenModel,
            document.KeysModel,
        )
        fields = {field for model in models for field in model.model_fields}
        self.assertEqual(fields, first_cells('document.md'))

    def test_commands(self) -> None:
        page = (OPERATIONS / 'command-line.md').read_text()
        for command in COMMANDS:
            self.assertIn(f'dragonflyknot {command.name}', page)
        named = set(
            re.findall(r'^    dragonflyknot (key \w+|\w+)', page, re.MULTILINE)
        )
        self.assertEqual({command.name for command in COMMANDS}, named)
