"""Jobs handed in all through a series of faults on real processes: each accepted one ends."""

import contextlib
import random
import time

import pytest

from bench.processes import BackendPlan
from tests.scenario import Scenario, call, signal

STOPPED_S = 14.0
"""For so long one process stands still, s: past its leases and its peers' patience."""

OUTAGE_S = 6.0
ENDS_WITHIN_S = 20.0
"""After the last fault every accepted job has ended within so long, s; each task works for 2 s at
most, and all of them together for about 5 s of the fleet."""

STARTS_S = 30.0
CALM_S = 6.0
"""Before anything is done to them, so long, s, the runners' calm latency is learnt."""

BETWEEN_JOBS_S = 0.12


class Series:
    """One series of faults with jobs on their way; what happens when follows from the seed."""

    def __init__(self, run: Scenario, seed: int) -> None:
        self.run = run
        self.random = random.Random(seed)
        self.names = sorted(run.fleet.entries)

    def hand_in_for(self, seconds: float) -> None:
        """Hand jobs in at any instance that answers; one that is refused is not counted."""
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            size = {"processors": self.random.choice([1, 2, 3]), "memory_mb": 1000}
            payload = {"run_s": self.random.uniform(0.3, 2.0)}
            tasks = self.random.randint(1, 4)
            at = self.random.choice(self.names)
            with contextlib.suppress(RuntimeError, OSError):
                self.run.submit(at, name="renewal", tasks=tasks, size=size, payload=payload)
            time.sleep(BETWEEN_JOBS_S)

    def restart(self, name: str) -> None:
        self.run.fleet.restart_entry(name)

    def play(self) -> None:
        still, stopped, killed, last = self.random.sample(self.names, 4)
        self.hand_in_for(3.0)
        self.run.entry(still).signal(signal.SIGSTOP)
        self.names.remove(still)
        self.hand_in_for(STOPPED_S / 2)
        assert self.run.entry(stopped).stop() == 0
        self.restart(stopped)
        self.hand_in_for(STOPPED_S / 2)
        self.run.entry(still).signal(signal.SIGCONT)
        self.names.append(still)
        self.run.fleet.log_fault("down")
        self.run.entry(killed).kill()
        time.sleep(OUTAGE_S)
        self.run.fleet.log_fault("lose-answers", rate=0.5)
        self.restart(killed)
        self.hand_in_for(8.0)
        self.run.entry(last).kill()
        self.restart(last)
        self.hand_in_for(6.0)
        self.run.fleet.log_fault("ok")


@pytest.mark.parametrize("seed", [1])
def test_every_accepted_job_ends_soon_after_the_last_fault(seed: int) -> None:
    with Scenario() as run:
        run.offer(["entry-a1", "entry-b1"])
        Series(run, seed).play()
        assert len(run.jobs) > 50
        run.wait_ended("entry-b2", ENDS_WITHIN_S)
        assert set(run.states("entry-b2")) == {"finished"}
        assert run.breaches() == []


def test_batch_work_runs_beside_an_idle_service_that_could_fill_its_server() -> None:
    """Each batch task was refused for good on servers of as many processors as slots.

    Seen: with 8 slots on an 8-processor instance every batch task was refused, while no request
    came. Cause: a processor was set aside for each slot, used or not.
    Proof: this test, without the mend: the job is refused.
    """
    backends = [
        BackendPlan(f"backend-{zone}1", zone, processors=8, service="quotes") for zone in "abc"
    ]
    with Scenario(backends) as run:
        run.submit("entry-a1", name="renewal", tasks=3, size={"processors": 2, "memory_mb": 500})
        run.wait_ended("entry-a1", STARTS_S)
        assert run.states("entry-a1") == ["finished"]


def test_batch_work_goes_on_beside_a_service_that_is_slow_for_another_reason() -> None:
    """Jobs ended 101 s after all runners became twice as slow; they work for 8 s.

    Seen once; three other runs of the same code took about 12 s or passed this test, so it does not
    prove the mend, `tests/test_interference.py` does. Nothing but the runners' own speed is
    changed here. The bound is that of the three tests of faults that failed beside other load.
    """
    with Scenario() as run:
        run.offer()
        time.sleep(CALM_S)
        run.submit_mix("entry-b1", run_s=8)
        run.wait_running("entry-b1", 15)
        for process in run.fleet.backends.values():
            call("POST", f"{process.url}/faults", {"stretch": 2.0})
        run.wait_ended("entry-b1", 60)
        assert run.states("entry-b1") == ["finished", "finished"]
        assert run.breaches() == []
