"""Check reading of valid and malformed settings files."""

import tempfile
from pathlib import Path

import testtools
from result import Err, Ok, Result

from adapter.settings import PlatformSettings, read_settings

VALID = """
node_name = "h1"
ip = "10.1.0.26"
zone = "dc1"
region = "north"
port_range = [7000, 7015]
bounds = [
    "grace=5s", "retry_budget_ratio=0.1", "retry_slack=20", "retry_window=8s"
]
app_addr = "10.1.0.26:8547"
service = "mine"
a_new_field = 3
[listen]
inbound = "10.1.0.26:8543"
outbound = "10.1.0.26:8548"
readiness = "10.1.0.26:8546"
admin = "10.1.0.26:8540"
[platform]
address = "10.1.0.2:9000"
"""


def read(text: str) -> Result[PlatformSettings, str]:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'boot.toml'
        path.write_text(text)
        return read_settings(path)


class SettingsTest(testtools.TestCase):
    """Check that fields are read and errors name field and remedy."""

    def test_valid_file_is_read(self) -> None:
        match read(VALID):
            case Ok(settings):
                bound = settings.site.retry_bound
                self.assertEqual(5, settings.site.grace_s)
                self.assertEqual(
                    (0.1, 20, 8), (bound.ratio, bound.slack, bound.window_s)
                )
            case Err(fault):
                self.fail(fault)

    def test_absent_bounds_have_defaults(self) -> None:
        match read(VALID.replace('bounds = [', 'other_bounds = [')):
            case Ok(settings):
                self.assertEqual(0.2, settings.site.retry_bound.ratio)
            case Err(fault):
                self.fail(fault)

    def test_faults_name_the_field(self) -> None:
        for old, new, named in (
            ('node_name = "h1"', '', 'node_name: must be a string'),
            (
                'port_range = [7000, 7015]',
                '',
                'port_range: must list the first',
            ),
            ('"grace=5s"', '"grace=5"', 'bounds.grace: '),
            ('ratio=0.1', 'ratio=much', 'bounds.retry_budget_ratio: must be a'),
            ('slack=20', 'slack=', 'bounds.retry_slack: must be a number'),
            ('window=8s', 'window=8', 'bounds.retry_window: '),
            ('[platform]', '[other]', 'platform: must be a record'),
            ('[listen]', '[listen', 'set DRAGONFLYKNOT_BOOT'),
        ):
            match read(VALID.replace(old, new)):
                case Ok():
                    self.fail(f'{new!r} was read')
                case Err(fault):
                    self.assertIn(named, fault)

    def test_absent_file_names_the_variable(self) -> None:
        match read_settings(Path('absent.toml')):
            case Ok():
                self.fail('an absent file was read')
            case Err(fault):
                self.assertIn('set DRAGONFLYKNOT_BOOT', fault)
