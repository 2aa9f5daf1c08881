"""The binary `dragonflyknot`, the operators' command line."""

import sys
from typing import Final

from cleo.application import Application

from dragonflyknot.operators.base import BaseCommand
from dragonflyknot.operators.documentcommands import (
    CheckCommand,
    DiffCommand,
    HistoryCommand,
    PromoteCommand,
    TryCommand,
)
from dragonflyknot.operators.fleetcommands import (
    DumpCommand,
    RoomCommand,
    StatusCommand,
)
from dragonflyknot.operators.keycommands import (
    KeyIssueCommand,
    KeyListCommand,
    KeyWithdrawCommand,
)

VERSION: Final = '0.1.0'
COMMANDS: Final[tuple[type[BaseCommand], ...]] = (
    CheckCommand,
    DiffCommand,
    TryCommand,
    PromoteCommand,
    HistoryCommand,
    KeyIssueCommand,
    KeyWithdrawCommand,
    KeyListCommand,
    StatusCommand,
    DumpCommand,
    RoomCommand,
)


def application() -> Application:
    """Return the application with every command."""
    created = Application('dragonflyknot', VERSION)
    created.auto_exits(False)
    for command in COMMANDS:
        created.add(command())
    return created


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(application().run())


if __name__ == '__main__':
    main()
