"""What the build for the platform leaves behind."""

import importlib.util
import shutil
import subprocess
import tempfile
from pathlib import Path

import testtools

ROOT = Path(__file__).parents[2]
COPIED = ('deploy', 'packages', 'platform', 'requirements')
FLAGS = slice(4, 8)
UNCHECKED_HASH = (1).to_bytes(4, 'little')


class BuildTest(testtools.TestCase):
    """A daemon starts without compiling anything."""

    def test_all_code_is_compiled_for_any_time_of_its_source(self) -> None:
        """Compile each copied module so that copying it again is harmless."""
        with tempfile.TemporaryDirectory() as folder:
            root = Path(folder)
            for name in COPIED:
                shutil.copytree(ROOT / name, root / name)
            deps = root / 'target' / 'deps'
            deps.mkdir(parents=True)
            # The libraries count as installed.
            (deps / '.pins').touch()
            subprocess.run(['sh', 'deploy/build.sh'], cwd=root, check=True)
            modules = sorted((root / 'target').rglob('*.py'))
            self.assertIn(root / 'target/platform/adapter/main.py', modules)
            self.assertIn(deps / 'dragonflyknot/callers/siteedge.py', modules)
            for module in modules:
                cached = importlib.util.cache_from_source(str(module))
                content = Path(cached).read_bytes()
                self.assertEqual(UNCHECKED_HASH, content[FLAGS], str(module))
