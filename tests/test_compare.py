"""The paired comparison of two checkouts: reading reports, intervals, switching off."""

import tomllib
from pathlib import Path
from typing import Any

from bench.compare import Pair, Play, interval, read_play, table, without


def report(worth: float | None, breaks: dict[str, int] | None = None) -> dict[str, Any]:
    return {
        "G": worth,
        "classes": [{"name": "a", "worth": 0.5}, {"name": "b", "worth": 0.25}],
        "breaks": breaks or {},
        "short": [],
    }


def play(worth: float, broken: dict[str, int] | None = None) -> Play:
    return read_play(report(worth, broken))


def test_a_play_without_a_figure_counts_nothing() -> None:
    assert read_play(report(None)).worth == 0.0


def test_pairs_that_all_differ_alike_bound_their_mean_closely() -> None:
    held = interval([0.02, 0.02, 0.02])
    assert held == (0.02, 0.02, 0.02)
    low, high = interval([0.0, 0.1, 0.05, 0.15])[1:]
    assert low < 0.075 < high
    assert abs((low + high) / 2 - 0.075) < 1e-9


def test_one_pair_bounds_nothing() -> None:
    assert interval([0.5]).high == float("inf")


def test_the_table_tells_each_day_each_class_and_what_broke() -> None:
    pairs = [
        Pair("d-1", 11, play(0.4), play(0.5)),
        Pair("d-1", 12, play(0.5), play(0.5, {"HARM": 2})),
    ]
    text = table(pairs)
    assert "worth: 0.450 to 0.500, +0.050" in text
    assert "HARM 2" in text
    assert "a: 0.500 +0.000" in text


def test_a_mechanism_is_switched_off_in_a_copy_only(tmp_path: Path) -> None:
    (tmp_path / "here" / "deploy").mkdir(parents=True)
    deploy = tmp_path / "here" / "deploy" / "system.toml"
    deploy.write_text('build = "true"\n[roles.scheduler]\nrun = "python3 x"\n')
    copy = without(tmp_path / "here", ["moving", "halting"], tmp_path)
    role = tomllib.loads((copy / "deploy" / "system.toml").read_text())["roles"]["scheduler"]
    assert role["env"] == {"SPOOLCRANK_WITHOUT": "moving,halting"}
    assert "env" not in deploy.read_text()
