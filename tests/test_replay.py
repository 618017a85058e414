"""A trace recorded from a live instance replays to the same decisions."""

import json
from pathlib import Path

import pytest

from bench.processes import Fleet, plan_backends, wait_for
from spoolcrank import trace
from spoolcrank.ids import Epoch, Incarnation, InstanceId
from spoolcrank.ledger import Claim, Ledger
from spoolcrank.replay import replay

DATA = Path(__file__).parent / "data"


@pytest.mark.parametrize("kept", sorted(DATA.glob("*.jsonl")), ids=lambda path: path.stem)
def test_kept_traces_give_the_stated_decisions(kept: Path) -> None:
    found = replay(kept.read_text().splitlines())
    assert found.decided > 10
    assert found.differences == []


def test_a_changed_decision_is_found() -> None:
    lines = next(DATA.glob("*.jsonl")).read_text().splitlines()
    at = next(n for n, line in enumerate(lines) if n and json.loads(line)["out"])
    line = json.loads(lines[at])
    lines[at] = json.dumps({**line, "out": []})
    found = replay(lines)
    assert [one.line for one in found.differences] == [at + 1]


def test_trace_of_a_live_instance_replays(tmp_path: Path) -> None:
    plans = [plan for plan in plan_backends(2, "quotes") if plan.zone == "a"]
    with Fleet(2, plans, zones=("a",), trace_dir=tmp_path) as fleet:
        fleet.wait_ready()
        size = {"processors": 2, "memory_mb": 1000}
        job = fleet.submit("entry-a1", name="traced", tasks=6, size=size, payload={"run_s": 0.5})
        wait_for(lambda: fleet.job("entry-a2", job)["state"] == "finished", 30, "not finished")
        fleet.entries["entry-a1"].stop()
        fleet.entries["entry-a2"].stop()
    for written in tmp_path.glob("*.jsonl"):
        found = replay(written.read_text().splitlines())
        assert found.inputs > 50
        assert found.differences == []


def test_a_ledger_taken_from_a_peer_replays() -> None:
    line = json.loads(next(DATA.glob("*.jsonl")).read_text().splitlines()[0])
    ledger = Ledger(offset=7)
    server, mine = InstanceId("backend-a1"), Incarnation(line["incarnation"])
    ledger.claims[server] = Claim(
        owner=InstanceId(line["me"]), incarnation=mine, epoch=Epoch(1024), at=1.0
    )
    out = ["note claim.found epoch=1024 server=backend-a1"]
    told = {"t": 1.0, "in": trace.told_ledger(ledger), "out": out}
    assert replay([json.dumps(line), json.dumps(told)]).differences == []
