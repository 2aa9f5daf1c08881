"""Check the settings of the daemon."""

import testtools

from dragonflyknot.daemon.options import OPTIONS
from dragonflyknot.daemon.settings import load_settings

FLAGS = {
    'host': 'host-1',
    'data-center': 'hsinchu-1',
    'region': 'north',
    'environment': 'trial',
    'requests-listen': '127.0.0.1:1',
    'control-listen': '127.0.0.1:2',
    'fleet-secret': 'sixteen-characters',
    'table-endpoint': 'http://127.0.0.1:3',
    'objects-endpoint': 'http://127.0.0.1:3',
}


class SettingsTest(testtools.TestCase):
    """Flags go before variables, and all faults come at once."""

    def test_flag_before_variable_before_default(self) -> None:
        environ = {
            'DRAGONFLYKNOT_HOST': 'other',
            'DRAGONFLYKNOT_LOG_LEVEL': 'debug',
        }
        checked = load_settings(FLAGS, environ).unwrap()
        self.assertEqual('host-1', checked.host)
        self.assertEqual('debug', checked.log_level)
        self.assertEqual(60, checked.drain_seconds)

    def test_all_faults_at_once(self) -> None:
        flags = {
            **FLAGS,
            'host': 'Not A Name',
            'callers-listen': 'localhost:80',
            'control-listen': '127.0.0.1:99999',
            'drain-seconds': '-1',
            'fleet-secret': 'short',
            'table-endpoint': 'table.example',
        }
        faults = load_settings(flags, {}).unwrap_err()
        self.assertEqual(6, len(faults.messages))
        for message in faults.messages:
            self.assertIn('DRAGONFLYKNOT_', message)

    def test_required_options_are_named(self) -> None:
        faults = load_settings({}, {}).unwrap_err()
        required = [option for option in OPTIONS if option.default is None]
        for option in required:
            self.assertIn(f'--{option.name}', str(faults))

    def test_secrets_are_not_shown(self) -> None:
        checked = load_settings(FLAGS, {}).unwrap()
        self.assertNotIn('sixteen-characters', repr(checked))
        short = load_settings({**FLAGS, 'fleet-secret': 'planted'}, {})
        self.assertNotIn('planted', str(short.unwrap_err()))
