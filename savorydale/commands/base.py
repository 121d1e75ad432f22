"""Base class and options shared by the commands."""

from collections.abc import Iterable

from cleo.commands.command import Command
from cleo.helpers import option

from savorydale.commands.client import (
    EntryUnreachableError,
    OperatorClient,
    OperatorRefusedError,
    OperatorResponse,
)
from savorydale.commands.exit_codes import ExitCode, exit_code_of
from savorydale.exceptions import ConfigurationError, OptionError

DEFAULT_ADDRESS = "127.0.0.1:8080"
ENTRY_OPTION = option(
    "entry", "e", "Address of an entry, host:port.", flag=False, default=DEFAULT_ADDRESS
)


def parse_count(name: str, text: str) -> int:
    """Return ``text`` as a non-negative integer.

    Raises
    ------
    ConfigurationError
        If ``text`` is not a non-negative integer.
    """
    if text.isascii() and text.isdigit():
        return int(text)
    error = OptionError(name, text, "is not a number", "Use an integer from 0 upwards.")
    raise ConfigurationError("one option is invalid", [error])


class BaseCommand(Command):
    """A command that maps every failure to its own exit code.

    Subclasses import their implementation when they run, so that other commands
    start fast.
    """

    def handle(self) -> int:
        """Run the command and return its exit code."""
        try:
            return self.run_command()
        except EntryUnreachableError as error:
            self.line_error(f"No valid response from the entry: {error}")
            return ExitCode.UNREACHABLE
        except OperatorRefusedError as error:
            return self.print_response(error.response, "")
        except ConfigurationError as group:
            self._print_errors(str(error) for error in group.exceptions)
            return ExitCode.USAGE

    def run_command(self) -> int:
        """Do the work of the command; implemented by subclasses."""
        raise NotImplementedError

    def client(self) -> OperatorClient:
        """Return a client for the entry given by ``--entry``."""
        return OperatorClient(self.option("entry"))

    def print_response(self, response: OperatorResponse, text: str) -> int:
        """Print ``text``, or the error in ``response``, and return the exit code."""
        code = exit_code_of(response.code)
        if code != ExitCode.OK:
            self.line_error(f"{response.code}: {response.body.get('message')}")
            self._print_errors(response.body.get("faults", []))
            return code
        self.line(text)
        return code

    def print_rows(self, headers: list[str], rows: Iterable[list[object]]) -> None:
        """Print the rows as a table."""
        table = self.table(headers, [[str(cell) for cell in row] for row in rows])
        table.render()

    def _print_errors(self, errors: Iterable[str]) -> None:
        for error in errors:
            self.line_error(f"- {error}")
