"""The binary `dragonflyknotd`."""

import os
import sys
from collections.abc import Mapping
from typing import Final

import uvloop
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option as CleoOption
from result import Err, Ok

from dragonflyknot.daemon.logs import configure_logs
from dragonflyknot.daemon.options import OPTIONS, Option
from dragonflyknot.daemon.runtime import run_daemon
from dragonflyknot.daemon.settings import Settings, load_settings

EXIT_OK: Final = 0
EXIT_BAD_SETTINGS: Final = 2
VERSION: Final = '0.1.0'


def _cleo_option(one: Option) -> CleoOption:
    described = f'{one.description} [{one.variable}]'
    return option(one.name, None, described, flag=False)


class RunCommand(Command):
    """Run the daemon until it is asked to stop."""

    name = 'run'
    description = 'Run the daemon beside the upstream of this host.'
    options = [_cleo_option(one) for one in OPTIONS]  # noqa: RUF012

    def handle(self) -> int:
        """Check the settings and run; return the exit code."""
        flags = {one.name: self.option(one.name) for one in OPTIONS}
        return run_checked(flags, os.environ)


def run_checked(
    flags: Mapping[str, str | None], environ: Mapping[str, str]
) -> int:
    """Run with checked settings, or report all of their faults."""
    match load_settings(flags, environ):
        case Ok(settings):
            return _run(settings)
        case Err(faults):
            sys.stderr.write(f'{faults}\n')
            return EXIT_BAD_SETTINGS


def main() -> None:
    """Run the command line of the daemon."""
    application = Application('dragonflyknotd', VERSION)
    command = RunCommand()
    application.add(command)
    application._default_command = 'run'
    application._single_command = True
    sys.exit(application.run())


def _run(settings: Settings) -> int:
    configure_logs(settings.log_level, settings.host)
    return uvloop.run(run_daemon(settings))


if __name__ == '__main__':
    main()
