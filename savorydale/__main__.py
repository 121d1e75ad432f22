"""Command line of savorydale."""

import sys

from savorydale.utils.reload_signal import hold_reload_signal

# The imports below take most of the start, and SIGHUP would end a server meanwhile.
if not {"serve", "serve-jobs"}.isdisjoint(sys.argv[1:]):
    hold_reload_signal()

import json
import os
import pathlib

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.helpers import argument, option

from savorydale import __version__
from savorydale.commands.base import ENTRY_OPTION, BaseCommand, parse_count
from savorydale.commands.client import (
    JsonObject,
)
from savorydale.commands.exit_codes import ExitCode

CONFIG_VARIABLE = "SAVORYDALE_BOOT"
MAX_SHOWN_PATHS = 3
JSON_OPTION = option("json", None, "Print JSON instead of a table.", flag=True)


class ServeCommand(BaseCommand):
    """savorydale serve."""

    name = "serve"
    description = "Run an entry."
    options = [option("config", "c", "Settings file of the entry.", flag=False)]
    help = "Example: savorydale serve --config entry.toml"

    def run_command(self) -> int:
        """Run the entry until it receives SIGTERM or SIGINT."""
        from savorydale.commands.serve import serve

        path = self.option("config")
        if path is None:
            self.line_error("Set the settings file with --config.")
            return ExitCode.USAGE
        return serve(pathlib.Path(path))


class ServeJobsCommand(BaseCommand):
    """savorydale serve-jobs."""

    name = "serve-jobs"
    description = "Accept and schedule jobs on the users' platform."
    options = [
        option(
            "config", "c", f"Settings file; ${CONFIG_VARIABLE} if left out.", flag=False
        )
    ]
    help = "Example: savorydale serve-jobs --config vm.toml"

    def run_command(self) -> int:
        """Run the process until it receives SIGTERM or SIGINT."""
        from savorydale.commands.serve_jobs import serve_jobs

        path = self.option("config") or os.environ.get(CONFIG_VARIABLE)
        if path is None:
            self.line_error(
                f"Set the settings file with --config or ${CONFIG_VARIABLE}."
            )
            return ExitCode.USAGE
        return serve_jobs(pathlib.Path(path))


class ExplainCommand(BaseCommand):
    """savorydale explain."""

    name = "explain"
    description = "Print the timeline of a job from the logs of several processes."
    arguments = [
        argument("job", "The job's ID."),
        argument("logs", "Log files; standard input if left out.", True, True),
    ]
    help = "Example: savorydale explain 5c0e7a21d94b36f8 entry-1.log entry-2.log"

    def run_command(self) -> int:
        """Print the timeline, oldest event first."""
        from savorydale.commands.explain import explain

        paths = [pathlib.Path(path) for path in self.argument("logs") or []]
        timeline = explain(paths, sys.stdin, self.argument("job"))
        if not timeline:
            self.line_error("No log line mentions the job.")
            return ExitCode.FAILED
        for text in timeline:
            self.line(text)
        return ExitCode.OK


class ReportCommand(BaseCommand):
    """savorydale report."""

    name = "report"
    description = "Count jobs by outcome and by cause, from the logs of all processes."
    arguments = [
        argument("logs", "Log files; standard input if left out.", True, True),
    ]
    help = "Example: savorydale report entry-1.log entry-2.log"

    def run_command(self) -> int:
        """Print the report."""
        from savorydale.commands.report import report

        paths = [pathlib.Path(path) for path in self.argument("logs") or []]
        lines = report(paths, sys.stdin)
        if not lines:
            self.line_error("No log line mentions a job.")
            return ExitCode.FAILED
        for text in lines:
            self.line(text)
        return ExitCode.OK


class CheckCommand(BaseCommand):
    """savorydale check."""

    name = "check"
    description = "Report every error of a settings file."
    arguments = [argument("file", "Settings file of an entry, or a settings tree.")]
    help = "Example: savorydale check entry.toml"

    def run_command(self) -> int:
        """Check the file and print its errors."""
        from savorydale.commands import check as check_command

        errors = check_command.check_file(pathlib.Path(self.argument("file")))
        self._print_errors(errors)
        if errors:
            return ExitCode.USAGE
        self.line("No errors.")
        return ExitCode.OK


class PlanCommand(BaseCommand):
    """savorydale settings plan."""

    name = "settings plan"
    description = "Show what applying settings files would change."
    arguments = [argument("path", "A TOML file, or a folder of them.")]
    options = [ENTRY_OPTION]
    help = "Example: savorydale settings plan settings/ --entry 10.0.0.1:8080"

    def run_command(self) -> int:
        """Print each node that would change, with its values before and after."""
        from savorydale.commands import settings as settings_command

        path = pathlib.Path(self.argument("path"))
        version, changes = settings_command.plan(self.client(), path)
        self.line(f"Version in force: {version}")
        for change in changes:
            self.line(f"{change.action} {change.path}")
            self._print_values(change.before or {}, change.after or {})
        self.line(f"{len(changes)} nodes would change.")
        return ExitCode.OK

    def _print_values(self, before: JsonObject, after: JsonObject) -> None:
        old = before.get("values", {})
        new = after.get("values", {})
        for name in sorted(set(old) | set(new)):
            if old.get(name) != new.get(name):
                self.line(f"  {name}: {old.get(name)} -> {new.get(name)}")


class ApplyCommand(BaseCommand):
    """savorydale settings apply."""

    name = "settings apply"
    description = "Apply settings files as one change."
    arguments = [argument("path", "A TOML file, or a folder of them.")]
    options = [
        ENTRY_OPTION,
        option("wait", "w", "Return once every entry applies them.", flag=True),
        option("read-version", None, "Version that must be current.", flag=False),
    ]
    help = "Example: savorydale settings apply settings/ --wait"

    def run_command(self) -> int:
        """Apply the files."""
        from savorydale.commands import settings as settings_command

        read_version = self.option("read-version")
        response = settings_command.apply(
            self.client(),
            pathlib.Path(self.argument("path")),
            bool(self.option("wait")),
            None if read_version is None else parse_count("read-version", read_version),
        )
        return self.print_response(
            response, f"Version in force: {response.body.get('version')}"
        )


class HistoryCommand(BaseCommand):
    """savorydale settings history."""

    name = "settings history"
    description = "List accepted settings changes, newest first."
    options = [
        ENTRY_OPTION,
        option("limit", None, "Maximum number of changes.", flag=False, default="20"),
    ]
    help = "Example: savorydale settings history --limit 5"

    def run_command(self) -> int:
        """Print the changes."""
        from savorydale.commands import settings as settings_command

        limit = parse_count("limit", self.option("limit"))
        response = settings_command.history(self.client(), limit)
        if response.code == 0:
            rows = [
                [
                    item["version"],
                    item["at"],
                    ", ".join(item["paths"][:MAX_SHOWN_PATHS]),
                ]
                for item in response.body["changes"]
            ]
            self.print_rows(["version", "accepted", "nodes"], rows)
        return self.print_response(
            response, f"Version in force: {response.body.get('version')}"
        )


class RollbackCommand(BaseCommand):
    """savorydale settings rollback."""

    name = "settings rollback"
    description = "Restore the settings of an earlier version as a new version."
    arguments = [argument("version", "Version to restore.")]
    options = [
        ENTRY_OPTION,
        option("wait", "w", "Return once every entry applies it.", flag=True),
    ]
    help = "Example: savorydale settings rollback 41 --wait"

    def run_command(self) -> int:
        """Post the changes that restore the version."""
        from savorydale.commands import settings as settings_command

        version = parse_count("version", self.argument("version"))
        response = settings_command.rollback(
            self.client(), version, bool(self.option("wait"))
        )
        return self.print_response(
            response, f"Version in force: {response.body.get('version')}"
        )


class ShowCommand(BaseCommand):
    """savorydale settings show."""

    name = "settings show"
    description = "Show the settings tree, or the node or effective values at a path."
    arguments = [argument("path", "Path of a node.", optional=True)]
    options = [
        ENTRY_OPTION,
        option("effective", None, "Show inherited values and sources.", flag=True),
    ]
    help = "Example: savorydale settings show hq/georgia/counts/countdesk --effective"

    def run_command(self) -> int:
        """Print the tree or the node."""
        response = self.client().get("settings", path=self.argument("path"))
        if response.code == 0 and self.option("effective"):
            effective = response.body.get("effective", {})
            rows = [
                [name, item["value"], item["source"]]
                for name, item in sorted(effective.items())
            ]
            self.print_rows(["Value", "In force", "Set at"], rows)
            return ExitCode.OK
        shown = response.body.get("node", response.body.get("nodes"))
        return self.print_response(
            response, json.dumps(shown, indent=2, sort_keys=True)
        )


class JobsListCommand(BaseCommand):
    """savorydale jobs list."""

    name = "jobs list"
    description = "Show waiting and running tasks, and ended runs."
    options = [ENTRY_OPTION, JSON_OPTION]
    help = "Example: savorydale jobs list --entry 10.0.0.1:8080"

    def run_command(self) -> int:
        """Print tasks and runs."""
        response = self.client().get("jobs")
        if response.code != 0 or self.option("json"):
            return self.print_response(response, json.dumps(response.body))
        tasks = [
            [task["id"], task["state"], task["worker"] or "", task["attempt"]]
            for task in response.body["tasks"]
        ]
        self.print_rows(["Task", "State", "Worker", "Attempt"], tasks)
        runs = [
            [name, run["result"], run["attempts"], run["finished"]]
            for name, run in sorted(response.body["runs"].items())
        ]
        self.print_rows(["Run", "Result", "Attempts", "Finished"], runs)
        return ExitCode.OK


class JobsRunCommand(BaseCommand):
    """savorydale jobs run."""

    name = "jobs run"
    description = "Start a run of a job now, at most once for each key."
    arguments = [argument("name", "Name of the job.")]
    options = [ENTRY_OPTION, option("key", "k", "Idempotency key.", flag=False)]
    help = "Example: savorydale jobs run venue-report --key 2026-12-04"

    def run_command(self) -> int:
        """Submit the run."""
        body = {}
        if self.option("key") is not None:
            body["key"] = self.option("key")
        response = self.client().post(f"jobs/{self.argument('name')}", body)
        return self.print_response(response, f"Submitted: {response.body.get('run')}")


class StatusCommand(BaseCommand):
    """savorydale status."""

    name = "status"
    description = "Show an entry, its peers and the workers."
    options = [ENTRY_OPTION, JSON_OPTION]
    help = "Example: savorydale status --entry 10.0.0.1:8080"

    def run_command(self) -> int:
        """Print the status."""
        response = self.client().get("status")
        if response.code != 0 or self.option("json"):
            return self.print_response(response, json.dumps(response.body))
        for name, value in response.body.items():
            if name not in ("workers", "peers"):
                self.line(f"{name}: {value}")
        rows = [
            [item["worker"], item["zone"], item["state"], ", ".join(item["services"])]
            for item in response.body["workers"]
        ]
        self.print_rows(["Worker", "Zone", "State", "Services"], rows)
        return ExitCode.OK


class CountersCommand(BaseCommand):
    """savorydale counters."""

    name = "counters"
    description = "Show counters and latencies of an entry."
    options = [ENTRY_OPTION, JSON_OPTION]
    help = "Example: savorydale counters --entry 10.0.0.1:8080"

    def run_command(self) -> int:
        """Print the counters."""
        response = self.client().get("counters")
        if response.code != 0 or self.option("json"):
            return self.print_response(response, json.dumps(response.body))
        self.print_rows(
            ["Counter", "Count"], map(list, response.body["counts"].items())
        )
        rows = [
            [name, item["count"], item["p50_ms"], item["p99_ms"], item["max_ms"]]
            for name, item in response.body["latencies"].items()
        ]
        self.print_rows(["Latency", "Count", "p50 ms", "p99 ms", "max ms"], rows)
        return ExitCode.OK


class DrainCommand(BaseCommand):
    """savorydale drain."""

    name = "drain"
    description = "Assign no new work to a worker, and move its tasks to others."
    arguments = [argument("worker", "Name of the worker's VM.")]
    options = [
        ENTRY_OPTION,
        option("undo", None, "Assign work to it again.", flag=True),
    ]
    help = "Example: savorydale drain ga-w07"

    def run_command(self) -> int:
        """Mark the worker as drained, or remove the mark."""
        body = {"worker": self.argument("worker"), "undo": bool(self.option("undo"))}
        response = self.client().post("drain", body)
        return self.print_response(
            response, f"Drained: {', '.join(response.body.get('drained', []))}"
        )


COMMANDS = (
    ServeCommand,
    ServeJobsCommand,
    ExplainCommand,
    ReportCommand,
    CheckCommand,
    PlanCommand,
    ApplyCommand,
    HistoryCommand,
    RollbackCommand,
    ShowCommand,
    JobsListCommand,
    JobsRunCommand,
    StatusCommand,
    CountersCommand,
    DrainCommand,
)


def main() -> None:
    """Run the command line and exit."""
    application = Application("savorydale", __version__)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in COMMANDS:
        application.add(command())
    try:
        sys.exit(application.run())
    except CleoError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(ExitCode.USAGE)


if __name__ == "__main__":
    main()
