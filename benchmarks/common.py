"""Options, statistics, tables and result files that all benchmarks share."""

import argparse
import json
import pathlib
import statistics
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

RESULTS_DIR = pathlib.Path(__file__).parent / "results"


class Latencies(NamedTuple):
    """Latency percentiles in milliseconds."""

    p50: float
    p99: float
    p999: float


def summarize(seconds: Sequence[float]) -> Latencies:
    """Return the percentiles of latencies given in seconds."""
    ordered = sorted(seconds)

    def percentile_ms(fraction: float) -> float:
        index = min(len(ordered) - 1, int(fraction * len(ordered)))
        return ordered[index] * 1000

    return Latencies(percentile_ms(0.5), percentile_ms(0.99), percentile_ms(0.999))


def median(values: Iterable[float]) -> float:
    """Return the median."""
    return statistics.median(values)


def print_table(headers: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print rows under headers in right-aligned columns."""
    formatted_rows = [[_format_cell(cell) for cell in row] for row in [headers, *rows]]
    widths = [max(len(row[i]) for row in formatted_rows) for i in range(len(headers))]
    for row in formatted_rows:
        cells = zip(row, widths, strict=True)
        print("  ".join(text.rjust(width) for text, width in cells))


def _format_cell(cell: Any) -> str:
    return f"{cell:.2f}" if isinstance(cell, float) else str(cell)


def save(name: str, result: Any) -> None:
    """Write a result as JSON to ``benchmarks/results``."""
    RESULTS_DIR.mkdir(exist_ok=True)
    path = RESULTS_DIR / f"{name}.json"
    path.write_text(json.dumps(result, indent=1, sort_keys=True) + "\n")


def make_parser(description: str | None) -> argparse.ArgumentParser:
    """Return a parser with the options that every benchmark has."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seed", type=int, default=1)
    return parser
