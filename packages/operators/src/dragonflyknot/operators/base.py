"""What all commands share: settings, output and exit codes.

A command that did its work exits with 0. Output goes to standard output, as
text or, with `--json`, as one JSON document; errors go to standard error
with their remedy.
"""

import asyncio
import json
import os
import sys
from abc import ABC, abstractmethod
from collections.abc import Coroutine
from dataclasses import dataclass
from enum import IntEnum, unique
from typing import ClassVar, Protocol

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option
from result import Err

from dragonflyknot.operators.flags import Flag, Settings, read_settings
from dragonflyknot.stores.errors import AnswerLost, Unavailable


@unique
class ExitCode(IntEnum):
    """Number the ways in which a command ends."""

    DONE = 0
    REFUSED = 1
    BAD_SETTINGS = 2
    UNREACHABLE = 3
    INCOMPLETE = 4


class Explained(Protocol):
    """Name an error whose text gives the remedy."""

    def __str__(self) -> str: ...


@dataclass(frozen=True, slots=True)
class Output:
    """Hold what a command prints, as text and as JSON members."""

    text: str
    members: object
    code: ExitCode = ExitCode.DONE


@dataclass(frozen=True, slots=True)
class Failure:
    """Hold the error that ended a command."""

    error: Explained
    code: ExitCode = ExitCode.REFUSED


def failure_of(error: Explained) -> Failure:
    """Return the failure of an error, by its kind."""
    match error:
        case Unavailable() | AnswerLost():
            return Failure(error, ExitCode.UNREACHABLE)
        case _:
            return Failure(error)


def options_of(*flags: Flag) -> list[Option]:
    """Return the options of a command, with `--json`."""
    described = [
        option(
            flag.name,
            None,
            f'{flag.description} [{flag.variable}]',
            flag=False,
        )
        for flag in flags
    ]
    return [*described, option('json', None, 'Print JSON')]


class BaseCommand(Command, ABC):
    """Read the settings, run the command and print its output."""

    flags: ClassVar[tuple[Flag, ...]] = ()

    def handle(self) -> int:
        """Return the exit code of the command."""
        settings = read_settings(self.flags, self.option, os.environ)
        if isinstance(settings, Err):
            return self._fail(
                Failure(settings.err_value, ExitCode.BAD_SETTINGS)
            )
        match asyncio.run(self.work(settings.ok_value)):
            case Output() as output:
                return self._print(output)
            case Failure() as failure:
                return self._fail(failure)

    @abstractmethod
    def work(
        self, settings: Settings
    ) -> Coroutine[object, object, Output | Failure]:
        """Do the command's work."""

    def _print(self, output: Output) -> int:
        if self.option('json'):
            sys.stdout.write(f'{json.dumps(output.members, indent=2)}\n')
        else:
            sys.stdout.write(f'{output.text}\n')
        return output.code

    def _fail(self, failure: Failure) -> int:
        kind = type(failure.error).__name__
        message = str(failure.error)
        if self.option('json'):
            message = json.dumps({'error': kind, 'message': message})
        sys.stderr.write(f'{message}\n')
        return failure.code
