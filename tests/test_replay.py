"""A replay of a recorded trace makes the recorded decisions."""

import json
import shutil
import tempfile
from pathlib import Path

import pytest

from bench.processes import Fleet, plan_backends, wait_for
from spoolcrank import trace
from spoolcrank.ids import Epoch, Incarnation, InstanceId
from spoolcrank.ledger import Claim, Ledger
from spoolcrank.replay import replay

DATA = Path(__file__).parent / "data"


@pytest.mark.parametrize("path", sorted(DATA.glob("*.jsonl")), ids=lambda path: path.stem)
def test_stored_traces_replay_to_the_recorded_decisions(path: Path) -> None:
    result = replay(path.read_text().splitlines())
    assert result.decision_count > 10
    assert result.differences == []


def test_a_changed_decision_is_found() -> None:
    lines = next(DATA.glob("*.jsonl")).read_text().splitlines()
    index = next(n for n, line in enumerate(lines) if n and json.loads(line)["out"])
    line = json.loads(lines[index])
    lines[index] = json.dumps({**line, "out": []})
    result = replay(lines)
    assert [difference.line for difference in result.differences] == [index + 1]


def test_trace_of_a_live_instance_replays(tmp_path: Path) -> None:
    plans = [plan for plan in plan_backends(2, "quotes") if plan.zone == "a"]
    with Fleet(2, plans, zones=("a",), trace_dir=tmp_path) as fleet:
        fleet.wait_ready()
        size = {"processors": 2, "memory_mb": 1000}
        job = fleet.submit("entry-a1", name="traced", tasks=6, size=size, payload={"run_s": 0.5})
        wait_for(lambda: fleet.job("entry-a2", job)["state"] == "finished", 30, "not finished")
        fleet.entries["entry-a1"].stop()
        fleet.entries["entry-a2"].stop()
    for path in tmp_path.glob("*.jsonl"):
        result = replay(path.read_text().splitlines())
        assert result.input_count > 50
        assert result.differences == [], f"trace copied to {_copy_trace(path)}"


def _copy_trace(path: Path) -> Path:
    """Copy a trace to a new directory that outlives the test run, and return the copy's path."""
    return Path(shutil.copy(path, tempfile.mkdtemp(prefix="spoolcrank-trace-")))


def test_a_ledger_received_from_a_peer_replays() -> None:
    header = json.loads(next(DATA.glob("*.jsonl")).read_text().splitlines()[0])
    ledger = Ledger(offset=7)
    server, incarnation = InstanceId("backend-a1"), Incarnation(header["incarnation"])
    ledger.claims[server] = Claim(
        owner=InstanceId(header["me"]), incarnation=incarnation, epoch=Epoch(1024), at=1.0
    )
    out = ["note claim.found epoch=1024 server=backend-a1"]
    input_line = {"t": 1.0, "in": trace.ledger_input(ledger), "out": out}
    assert replay([json.dumps(header), json.dumps(input_line)]).differences == []
