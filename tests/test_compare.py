"""Paired comparison of two checkouts: reports, confidence intervals, disabled mechanisms.

The tests guard against differences that are reported wrongly or as more certain than they are, and
against a comparison that changes the checkout itself.
"""

import tomllib
from pathlib import Path
from typing import Any

from bench.compare import Pair, Play, interval, read_play, table, without


def report(score: float | None, breaks: dict[str, int] | None = None) -> dict[str, Any]:
    return {
        "G": score,
        "classes": [{"name": "a", "worth": 0.5}, {"name": "b", "worth": 0.25}],
        "breaks": breaks or {},
        "short": [],
    }


def play(score: float, broken: dict[str, int] | None = None) -> Play:
    return read_play(report(score, broken))


def test_report_without_a_value_counts_as_zero() -> None:
    assert read_play(report(None)).score == 0.0


def test_equal_differences_give_an_interval_without_width() -> None:
    result = interval([0.02, 0.02, 0.02])
    assert result == (0.02, 0.02, 0.02)
    low, high = interval([0.0, 0.1, 0.05, 0.15])[1:]
    assert low < 0.075 < high
    assert abs((low + high) / 2 - 0.075) < 1e-9


def test_single_pair_gives_an_unbounded_interval() -> None:
    assert interval([0.5]).high == float("inf")


def test_table_shows_each_day_each_class_and_broken_rules() -> None:
    pairs = [
        Pair("d-1", 11, play(0.4), play(0.5)),
        Pair("d-1", 12, play(0.5), play(0.5, {"HARM": 2})),
    ]
    text = table(pairs)
    assert "worth: 0.450 to 0.500, +0.050" in text
    assert "HARM 2" in text
    assert "a: 0.500 +0.000" in text


def test_mechanisms_are_disabled_only_in_a_copy(tmp_path: Path) -> None:
    (tmp_path / "here" / "deploy").mkdir(parents=True)
    deploy = tmp_path / "here" / "deploy" / "system.toml"
    deploy.write_text('build = "true"\n[roles.scheduler]\nrun = "python3 x"\n')
    copy = without(tmp_path / "here", ["moving", "halting"], tmp_path)
    role = tomllib.loads((copy / "deploy" / "system.toml").read_text())["roles"]["scheduler"]
    assert role["env"] == {"SPOOLCRANK_WITHOUT": "moving,halting"}
    assert "env" not in deploy.read_text()
