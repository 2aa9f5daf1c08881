"""Check the output of the build for the users' platform."""

import importlib.util
import shutil
import subprocess
import tempfile
from pathlib import Path

import testtools

ROOT = Path(__file__).parents[2]
SOURCE_FOLDERS = ('deploy', 'packages', 'platform', 'requirements')
PYC_FLAGS = slice(4, 8)
UNCHECKED_HASH_FLAGS = (1).to_bytes(4, 'little')


class BuildTest(testtools.TestCase):
    """Check that a daemon starts without compiling modules."""

    def test_all_code_is_compiled_for_any_time_of_its_source(self) -> None:
        """Check that compiled files do not depend on source times.

        The platform may copy the files again, which changes their times;
        with time-based invalidation each start would compile them anew.
        """
        with tempfile.TemporaryDirectory() as folder:
            root = Path(folder)
            for name in SOURCE_FOLDERS:
                shutil.copytree(ROOT / name, root / name)
            deps = root / 'target' / 'deps'
            deps.mkdir(parents=True)
            # The newer stamp file makes the build skip installing libraries.
            (deps / '.pins').touch()
            subprocess.run(['sh', 'deploy/build.sh'], cwd=root, check=True)
            modules = sorted((root / 'target').rglob('*.py'))
            self.assertIn(root / 'target/platform/adapter/main.py', modules)
            self.assertIn(deps / 'dragonflyknot/callers/siteedge.py', modules)
            for module in modules:
                cached = importlib.util.cache_from_source(str(module))
                content = Path(cached).read_bytes()
                self.assertEqual(
                    UNCHECKED_HASH_FLAGS, content[PYC_FLAGS], str(module)
                )
