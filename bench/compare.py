"""Play the same days with several checkouts and print the paired differences.

`python -m bench.compare BENCH SITE BASE VARIANT... --seeds 11,12,13`: BENCH is the bench's program,
SITE a site file, BASE and VARIANT are checkouts. `--without NAME` also plays BASE with a mechanism
switched off. Each day and seed is played once with every checkout, one right after the other, so
that the load of the machine affects all alike. Which checkout comes first changes from one day and
seed to the next.
"""

import argparse
import json
import shutil
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

import tomli_w
from scipy import stats

PLAY_TIMEOUT_S = 900
"""Time-out of one play of a day, in seconds; a play that exceeds it fails the comparison."""

CONFIDENCE_LEVEL = 0.95
DEPLOYMENT_FILE = Path("deploy/system.toml")
SWITCH_VARIABLE = "SPOOLCRANK_WITHOUT"


class Play(NamedTuple):
    """The result of one play of a day, from the bench's report.

    Attributes:
        score: the bench's score of the whole day, net of prices.
        class_scores: the score of each kind of request, in the report's order.
        violations: number of violations of each rule that was broken.
        gate_failures: reasons why the day did not pass the bench's gate.
    """

    score: float
    class_scores: dict[str, float]
    violations: dict[str, int]
    gate_failures: list[str]


class Pair(NamedTuple):
    """The plays of one day and seed with the base and with a variant."""

    day: str
    seed: int
    base: Play
    variant: Play


class Interval(NamedTuple):
    """A mean and the limits of its confidence interval."""

    mean: float
    low: float
    high: float

    def __str__(self) -> str:
        return f"{self.mean:+.3f} ({self.low:+.3f} to {self.high:+.3f})"


def interval(differences: Sequence[float]) -> Interval:
    """Return the mean of paired differences with its confidence interval by Student's t.

    The interval is infinite for a single pair.
    """
    mean = sum(differences) / len(differences)
    if len(differences) < 2:
        return Interval(mean, float("-inf"), float("inf"))
    standard_error = float(stats.sem(differences))
    if standard_error == 0.0:
        return Interval(mean, mean, mean)
    low, high = stats.t.interval(
        CONFIDENCE_LEVEL, len(differences) - 1, loc=mean, scale=standard_error
    )
    return Interval(mean, float(low), float(high))


def read_play(report: dict[str, Any]) -> Play:
    """Convert the bench's report of one play; a missing score counts as 0."""
    class_scores = {entry["name"]: float(entry["worth"]) for entry in report["classes"]}
    violations = {name: int(count) for name, count in report["breaks"].items()}
    return Play(float(report["G"] or 0.0), class_scores, violations, list(report["short"]))


def play(bench: str, site: str, checkout: Path, day: str, seed: int, why: str) -> Play:
    """Play one day with one checkout; raise RuntimeError if the bench writes no report."""
    with tempfile.NamedTemporaryFile(suffix=".json") as file:
        command = [bench, "run", site, day, "--seed", str(seed), "--report", file.name]
        command += ["--why", why]
        completed = subprocess.run(
            command,
            cwd=checkout,
            capture_output=True,
            text=True,
            timeout=PLAY_TIMEOUT_S,
            check=False,
        )
        text = Path(file.name).read_text(encoding="utf-8")
    if not text:
        raise RuntimeError(f"{day} seed {seed}: {(completed.stdout + completed.stderr)[-500:]}")
    return read_play(json.loads(text))


def without(checkout: Path, mechanisms: Sequence[str], folder: Path) -> Path:
    """Copy a checkout, switch mechanisms off for the daemons of the copy and return its path."""
    copy = folder / "-".join(("without", *mechanisms))
    shutil.copytree(checkout, copy, symlinks=True, ignore=shutil.ignore_patterns(".venv"))
    deployment = tomllib.loads((copy / DEPLOYMENT_FILE).read_text(encoding="utf-8"))
    for role in deployment["roles"].values():
        role["env"] = {**role.get("env", {}), SWITCH_VARIABLE: ",".join(mechanisms)}
    (copy / DEPLOYMENT_FILE).write_text(tomli_w.dumps(deployment), encoding="utf-8")
    return copy


def days_not_quiet(site: str) -> list[str]:
    """Return the names of the days of a site that are not quiet."""
    days = tomllib.loads(Path(site).read_text(encoding="utf-8"))["day"]
    return [day["name"] for day in days if day["slot"] != "quiet"]


def table(pairs: Iterable[Pair]) -> str:
    """Return the pairs and their differences, with means by day and by kind of request, as text."""
    ordered = sorted(pairs, key=lambda pair: (pair.day, pair.seed))
    lines = [f"{'day':<12} {'seed':>5} {'base':>7} {'variant':>8} {'change':>7}  rules, gate"]
    for pair in ordered:
        change = pair.variant.score - pair.base.score
        lines.append(
            f"{pair.day:<12} {pair.seed:>5} {pair.base.score:>7.3f} {pair.variant.score:>8.3f} "
            f"{change:>+7.3f}  {_failures('base', pair.base)}{_failures('variant', pair.variant)}"
        )
    for day in dict.fromkeys(pair.day for pair in ordered):
        day_changes = [pair.variant.score - pair.base.score for pair in ordered if pair.day == day]
        lines.append(f"{day}: {interval(day_changes)}")
    for name in ordered[0].base.class_scores:
        class_changes = [
            pair.variant.class_scores[name] - pair.base.class_scores[name] for pair in ordered
        ]
        base = sum(pair.base.class_scores[name] for pair in ordered) / len(ordered)
        lines.append(f"{name}: {base:.3f} {interval(class_changes)}")
    base_mean = sum(pair.base.score for pair in ordered) / len(ordered)
    variant_mean = sum(pair.variant.score for pair in ordered) / len(ordered)
    changes = [pair.variant.score - pair.base.score for pair in ordered]
    lines.append(f"worth: {base_mean:.3f} to {variant_mean:.3f}, {interval(changes)}")
    return "\n".join(lines) + "\n"


def _failures(name: str, result: Play) -> str:
    failures = [
        f"{rule} {count}" for rule, count in result.violations.items()
    ] + result.gate_failures
    return f"{name}: {', '.join(failures)[:60]} " if failures else ""


def plot(pairs: Sequence[Pair], path: str) -> None:
    """Write a plot of the change of each pair, by day, to a PNG file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    days = list(dict.fromkeys(pair.day for pair in pairs))
    figure, axes = pyplot.subplots(figsize=(8, 4))
    for pair in pairs:
        axes.plot(days.index(pair.day), pair.variant.score - pair.base.score, "o", color="tab:blue")
    axes.axhline(0.0, color="black", linewidth=0.8)
    axes.set_xticks(range(len(days)), days)
    axes.set_ylabel("change of worth")
    figure.savefig(path)


def _arguments(command_line: Sequence[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m bench.compare", description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("base", type=Path)
    parser.add_argument("variants", type=Path, nargs="*")
    parser.add_argument(
        "--days", default="", help="names, separated by commas; default: all that are not quiet"
    )
    parser.add_argument("--seeds", default="11,12,13")
    parser.add_argument(
        "--without", action="append", default=[], help="mechanism to switch off in BASE; repeatable"
    )
    parser.add_argument(
        "--at-once", type=int, default=4, help="number of pairs to play in parallel"
    )
    parser.add_argument("--why", default="paired plays", help="reason to write to the journal")
    parser.add_argument("--out", help="file to write the tables to")
    parser.add_argument("--plot", help="PNG file for the plot; {} stands for the variant")
    return parser.parse_args(command_line)


def play_all(args: argparse.Namespace, checkouts: Sequence[Path]) -> dict[Path, list[Pair]]:
    """Play every day and seed with each checkout.

    Returns, for each checkout but the first, its plays paired with those of the first.
    """
    days = args.days.split(",") if args.days else days_not_quiet(args.site)
    days_and_seeds = [(day, int(seed)) for seed in args.seeds.split(",") for day in days]
    for checkout in checkouts:
        subprocess.run([args.bench, "build"], cwd=checkout, check=True, capture_output=True)

    def play_in_turn(number: int) -> dict[Path, Play]:
        day, seed = days_and_seeds[number]
        first = number % len(checkouts)
        order = [*checkouts[first:], *checkouts[:first]]
        return {
            player: play(args.bench, args.site, player, day, seed, args.why) for player in order
        }

    with ThreadPoolExecutor(args.at_once) as pool:
        played = list(pool.map(play_in_turn, range(len(days_and_seeds))))
    base, *variants = checkouts
    return {
        variant: [
            Pair(day, seed, plays[base], plays[variant])
            for (day, seed), plays in zip(days_and_seeds, played, strict=True)
        ]
        for variant in variants
    }


def copy_journal_back(copy: Path, checkout: Path) -> None:
    """Copy the journal of a copy's plays back to the checkout that it was copied from."""
    shutil.copytree(copy / "journal", checkout / "journal", dirs_exist_ok=True)


def main(command_line: Sequence[str]) -> int:
    """Play the pairs, print the tables and return the number of variant plays that broke a rule."""
    args = _arguments(command_line)
    text = ""
    violating_plays = 0
    base = args.base.resolve()
    with tempfile.TemporaryDirectory(dir=base.parent) as folder:
        copies = [without(base, [name], Path(folder)) for name in args.without]
        variants = [path.resolve() for path in args.variants]
        played = play_all(args, [base, *variants, *copies])
        for copy in copies:
            copy_journal_back(copy, base)
    for variant, pairs in played.items():
        text += f"{variant.name} against {base.name}\n{table(pairs)}\n"
        violating_plays += sum(1 for pair in pairs if pair.variant.violations)
        if args.plot:
            plot(pairs, args.plot.replace("{}", variant.name))
    sys.stdout.write(text)
    if args.out:
        Path(args.out).write_text(text, encoding="utf-8")
    return violating_plays


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
