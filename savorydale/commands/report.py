"""Print where jobs lost time, from the logs of several processes."""

import pathlib
from typing import TextIO

from savorydale.logs.reading import read_logs
from savorydale.logs.report import build_report, format_report


def report(paths: list[pathlib.Path], standard_input: TextIO) -> list[str]:
    """Return the report's lines; none if the logs name no job."""
    report_by_queue = build_report(read_logs(paths, standard_input))
    return format_report(report_by_queue) if report_by_queue else []
