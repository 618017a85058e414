"""Play the days of `bench/days/kinds.toml` with the platform's bench and print their results.

`python -m bench.days BENCH SITE [NAME ...]`: BENCH is the bench's program, SITE a site file. Each
kind of trouble has a day of its own, on which it occurs twice. Each pair of kinds has a day on
which it occurs once, the second kind `after` seconds after the first.
"""

import subprocess
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

import tomli_w

DAYS_FILE = Path(__file__).parent / "days" / "kinds.toml"
FIRST_AT_S = 6.0
SECOND_AT_S = 20.0
DAY_LENGTH_S = 34.0
SEED = 7
PLANNED_KINDS = frozenset({"config_change", "config_storm", "roll_term", "hup", "add_nodes"})
MAX_PARALLEL_PLAYS = 7
PLAY_TIMEOUT_S = 500


class PlayResult(NamedTuple):
    """The result of one day: the bench's line about it, and its lines about broken rules.

    `line` holds the end of the output instead if the bench printed no line about the day.
    """

    name: str
    line: str
    broken_rules: list[str]


def build_day(name: str, troubles: list[dict[str, Any]], twice: bool) -> dict[str, Any]:
    """Return one day in the form that the bench reads."""
    entries = []
    for begin_s in (FIRST_AT_S, SECOND_AT_S) if twice else (FIRST_AT_S,):
        for trouble in troubles:
            fields = dict(trouble)
            entries.append({**fields, "at": begin_s + fields.pop("after", 0.0)})
    for entry in entries:
        entry.pop("after", None)
    return {
        "name": name,
        "slot": "trouble",
        "seed": SEED,
        "length_s": DAY_LENGTH_S,
        "plan": [entry for entry in entries if entry["kind"] in PLANNED_KINDS],
        "faults": [entry for entry in entries if entry["kind"] not in PLANNED_KINDS],
    }


def play(bench: str, site: str, day: dict[str, Any], why: str) -> PlayResult:
    """Play one day and extract its result from the output of the bench."""
    with tempfile.NamedTemporaryFile("wb", suffix=".toml") as file:
        tomli_w.dump(day, file)
        file.flush()
        command = [bench, "run", site, file.name, "--why", f"{why}: {day['name']}"]
        completed = subprocess.run(
            command, capture_output=True, text=True, timeout=PLAY_TIMEOUT_S, check=False
        )
    lines = (completed.stdout + completed.stderr).splitlines()
    day_lines = [line for line in lines if line.startswith(str(day["name"]))]
    broken_rules = [line for line in lines if line.startswith("rules broken")]
    return PlayResult(
        str(day["name"]), day_lines[0] if day_lines else "\n".join(lines[-3:]), broken_rules
    )


def main(arguments: list[str]) -> int:
    """Play the named days, or all; return the number of days that broke a rule."""
    bench, site, *names = arguments
    table = tomllib.loads(DAYS_FILE.read_text(encoding="utf-8"))
    days = [
        build_day(name, troubles, section == "alone")
        for section, group in table.items()
        for name, troubles in group.items()
        if not names or name in names
    ]
    with ThreadPoolExecutor(MAX_PARALLEL_PLAYS) as pool:
        results = list(pool.map(lambda day: play(bench, site, day, "days of our own"), days))
    for result in results:
        sys.stdout.write(f"{result.line[:150]}\n")
        for line in result.broken_rules:
            sys.stdout.write(f"    {line[:150]}\n")
    return sum(1 for result in results if result.broken_rules)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
