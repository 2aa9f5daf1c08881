"""Check which modules a daemon on the users' platform imports."""

import os
import subprocess
import sys
from pathlib import Path

import testtools

PLATFORM_FOLDER = Path(__file__).parents[2] / 'platform'
PRINT_LOADED_MODULES = """
import sys
sys.path.insert(0, sys.argv[1])
from adapter.packageinit import skip_package_init
skip_package_init('aiohttp')
import adapter.main
print(' '.join(sorted(sys.modules)))
"""
HANG_UP_WHILE_STARTING = """
import os, runpy, signal, sys, types
sys.path.insert(0, sys.argv[1])
main = types.ModuleType('adapter.main')
main.main = lambda: os.kill(os.getpid(), signal.SIGHUP)
sys.modules['adapter.main'] = main
runpy.run_path(sys.argv[1] + '/host.py', run_name='__main__')
"""
UNUSED_MODULES = (
    'aiobotocore',
    'aiohttp.client',
    'aiohttp.connector',
    'aiohttp.web',
    'cleo',
    'grpclib',
    'pydantic',
)


class LeanProcessTest(testtools.TestCase):
    """Check that unused modules, which cost memory, are not imported."""

    def test_what_is_loaded(self) -> None:
        """Import the parsers of aiohttp, but not its client or server."""
        completed = subprocess.run(
            [sys.executable, '-c', PRINT_LOADED_MODULES, str(PLATFORM_FOLDER)],
            capture_output=True,
            check=True,
            env=os.environ | {'PYTHONPATH': os.pathsep.join(sys.path)},
            text=True,
        )
        loaded = set(completed.stdout.split())
        self.assertIn('aiohttp.http_parser', loaded)
        self.assertEqual(set(), loaded.intersection(UNUSED_MODULES))

    # Guards against a process that ends as its settings change while it starts.
    def test_signal_before_the_handlers_are_set(self) -> None:
        """Go on after SIGHUP; the settings are read afterwards anyway."""
        completed = subprocess.run(
            [
                sys.executable,
                '-c',
                HANG_UP_WHILE_STARTING,
                str(PLATFORM_FOLDER),
            ],
            check=False,
            env=os.environ | {'PYTHONPATH': os.pathsep.join(sys.path)},
        )
        self.assertEqual(0, completed.returncode)

    def test_missing_package(self) -> None:
        """Name the remedy if a package is not installed."""
        completed = subprocess.run(
            [
                sys.executable,
                '-c',
                'from adapter.packageinit import skip_package_init;'
                " skip_package_init('no_such')",
            ],
            capture_output=True,
            check=False,
            env=os.environ | {'PYTHONPATH': str(PLATFORM_FOLDER)},
            text=True,
        )
        self.assertIn('run deploy/build.sh', completed.stderr)
