"""Print the timeline of one job from the logs of several processes."""

import pathlib
from typing import TextIO

from savorydale.logs.reading import read_logs
from savorydale.logs.timeline import build_timeline, format_timeline


def explain(paths: list[pathlib.Path], standard_input: TextIO, job: str) -> list[str]:
    """Return a job's timeline from log files, or standard input if none is given."""
    return format_timeline(build_timeline(read_logs(paths, standard_input), job))
