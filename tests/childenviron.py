"""Start this workspace's programs from tests."""

import os
import sys


def process_environ() -> dict[str, str]:
    """Return the environment in which a child finds the same packages."""
    return {**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)}
