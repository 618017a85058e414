"""A state machine of faults at a small simulated fleet, with the users' invariants."""

from collections import Counter
from typing import Any

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from spoolcrank.batching import ENDED_JOB_RETENTION_S
from spoolcrank.ids import JobId
from spoolcrank.job_intake import IntakeOutcome
from spoolcrank.keyed_log import progress_key
from spoolcrank.workflow import FINAL, JobPhase, Step, TaskKey
from tests.fleet_world import Runner, World, small_world
from tests.state_machines import run_examples

STEPS = (
    Step(count=3, millicores=1000, memory_mb=100, estimate_ms=600),
    Step(count=2, millicores=1000, memory_mb=100, estimate_ms=600, after=(0,)),
)
LASTING = Step(count=2, millicores=1000, memory_mb=100, lasting=True)
CRASHING_JOB = "bad0"
ONE_TASK = Step(count=1, millicores=1000, memory_mb=100, estimate_ms=600)
CRASHES_WITHIN_S = 0.5
MAX_STARTS = 2
"""Maximum number of starts of a task after it has crashed three runners; the users require it."""

HEAL_S = 40.0
MAX_CANCELS = 10
CANCEL_AFTER_S = 5.0
"""Time after the end of the faults at which lasting jobs are cancelled, in seconds."""
WORK_S = 1.5
SHORT_WAIT_S = st.floats(0.05, 1.0)
LONG_WAIT_S = st.floats(1.0, 9.0)


class Faults(RuleBasedStateMachine):
    """Jobs, cancels, kills, freezes, cuts and a bad store, in any order."""

    @initialize(
        seed=st.integers(0, 1 << 16),
        ends=st.sampled_from([500, 2]),
        clock_rate=st.sampled_from([0.985, 0.981, 1.0]),
        max_lease_ms=st.sampled_from([10_000, 6_000]),
    )
    def begin(self, seed: int, ends: int, clock_rate: float, max_lease_ms: int) -> None:
        self.world: World = small_world(3, 3, seed, max_lease_ms)
        self.world.max_ends_per_answer = ends
        # A known fault: a restarted runner carries out a late order if no call has reached it yet.
        self.world.late_orders_outlive_restart = False
        next(iter(self.world.runners.values())).clock_rate = clock_rate
        self.outcomes: dict[str, list[IntakeOutcome]] = {}
        self.submissions: Counter[str] = Counter()
        self.first_at: dict[str, float] = {}
        self.cancelled: set[str] = set()
        self.replacements = 0
        for runner in self.world.runners.values():
            runner.work_s = WORK_S

    def instance(self, pick: int) -> Any:
        names = sorted(self.world.instances)
        return self.world.instances[names[pick % len(names)]] if names else None

    def alive(self, pick: int) -> Runner | None:
        alive = [one for one in self.world.runners.values() if one.alive]
        return alive[pick % len(alive)] if alive else None

    def submit_new_job(self, pick: int) -> str:
        instance = self.instance(pick)
        job = f"{len(self.outcomes):04x}"
        if instance is not None:
            self.outcomes[job] = instance.submit(job, *STEPS)
            self.first_at[job] = self.world.now
            self.submissions[job] += 1
        return job

    @rule(pick=st.integers(0, 5))
    def submit(self, pick: int) -> None:
        self.submit_new_job(pick)
        self.world.run(0.05)

    @rule(pick=st.integers(0, 5), which=st.integers(0, 50))
    def submit_again(self, pick: int, which: int) -> None:
        instance = self.instance(pick)
        if instance is not None and self.outcomes:
            job = sorted(self.outcomes)[which % len(self.outcomes)]
            outcomes = self.outcomes[job]
            steps = (LASTING,) if job in self.world.lasting_jobs else STEPS
            instance.submit(job, *steps, outcomes=outcomes)
            self.submissions[job] += 1
        self.world.run(0.05)

    @rule(pick=st.integers(0, 5), which=st.integers(0, 50))
    def cancel(self, pick: int, which: int) -> None:
        instance = self.instance(pick)
        if instance is not None and self.outcomes:
            job = sorted(self.outcomes)[which % len(self.outcomes)]
            self.cancelled.add(job)
            instance.intake.cancel(JobId(job), lambda outcomes: None)

    @rule(seconds=SHORT_WAIT_S)
    def wait(self, seconds: float) -> None:
        self.world.run(seconds)

    @rule(seconds=LONG_WAIT_S)
    def wait_long(self, seconds: float) -> None:
        self.world.run(seconds)

    @rule(leader=st.booleans(), pick=st.integers(0, 5))
    def kill(self, leader: bool, pick: int) -> None:
        victim = self.world.leader() if leader else self.instance(pick)
        if victim is None:
            return
        victim.kill()
        self.replace()

    def replace(self) -> None:
        """Add an instance in place of a killed one."""
        self.replacements += 1
        self.world.add_instance(f"entry-{chr(97 + self.replacements % 26)}{self.replacements}")

    @rule(share=st.sampled_from([0.0, 0.1]))
    def calls_are_carried_out_twice(self, share: float) -> None:
        self.world.repeated_call_share = share

    @rule(pick=st.integers(0, 5))
    def a_task_crashes_its_runners(self, pick: int) -> None:
        instance = self.instance(pick)
        if instance is not None and not self.world.crashing:
            self.world.crashing[CRASHING_JOB] = CRASHES_WITHIN_S
            instance.submit(CRASHING_JOB, ONE_TASK, max_attempts=9)
        self.world.run(0.05)

    @rule()
    def history_is_dropped(self) -> None:
        self.world.store.jobs.first_retained_offset = len(self.world.store.jobs.records)

    @rule(leader=st.booleans(), pick=st.integers(0, 5), seconds=LONG_WAIT_S)
    def freeze(self, leader: bool, pick: int, seconds: float) -> None:
        victim = self.world.leader() if leader else self.instance(pick)
        if victim is not None:
            victim.freeze(seconds)

    @rule(pick=st.integers(0, 5), all_of_it=st.booleans())
    def store_away(self, pick: int, all_of_it: bool) -> None:
        instance = self.instance(pick)
        if all_of_it:
            self.world.store.silent = True
        elif instance is not None:
            self.world.store.refused_instances.add(instance.name)

    @rule(lost=st.sampled_from([0.0, 0.3]), late=st.sampled_from([0.0, 0.2]))
    def store_lossy(self, lost: float, late: float) -> None:
        self.world.store.lost_append_answer_share = lost
        self.world.store.late_append_share = late

    @rule()
    def store_back(self) -> None:
        self.world.store.silent = False
        self.world.store.refused_instances.clear()

    @rule(pick=st.integers(0, 5))
    def answers_of_an_acceptance_are_lost(self, pick: int) -> None:
        self.world.store.lost_append_answer_share = 1.0
        self.submit(pick)
        self.world.run(2.5)
        self.world.store.lost_append_answer_share = 0.0

    @rule(share=st.sampled_from([0.0, 0.2, 0.5]))
    def late_order_share(self, share: float) -> None:
        self.world.late_order_share = share

    @rule(share=st.sampled_from([0.0, 0.3]), slow_s=st.sampled_from([0.0, 0.05, 0.25]))
    def answers_of_runners_are_lost_or_slow(self, share: float, slow_s: float) -> None:
        self.world.lost_answer_share = share
        self.world.max_transit_s = slow_s

    @rule(late=st.sampled_from([0.5, 1.0]), seconds=st.floats(0.02, 0.3))
    def leader_dies_with_orders_on_their_way(self, late: float, seconds: float) -> None:
        self.world.late_order_share = late
        self.submit(0)
        self.world.run(seconds)
        self.kill(True, 0)
        self.world.late_order_share = 0.0
        self.world.run(6.0)

    @rule(seconds=st.floats(0.9, 1.2))
    def leader_is_held_up_as_its_write_is_taken(self, seconds: float) -> None:
        leader = self.world.leader()
        if leader is None:
            return
        self.submit(0)
        self.world.run(0.2)
        runner = self.alive(0)
        if runner is None:
            return
        link = (leader.name, runner.name)
        self.world.unreachable.add(link)
        written = progress_key(JobId(self.submit_new_job(0)))
        for _ in range(200):
            if any(one.key == written for one in self.world.store.jobs.records[-20:]):
                break
            self.world.run(0.0005)
        leader.freeze(seconds)
        self.world.run(seconds + 1.0)
        self.world.unreachable.discard(link)
        self.world.run(1.0)

    @rule(seconds=st.floats(1.2, 1.6))
    def leader_dies_without_the_store_as_tasks_end(self, seconds: float) -> None:
        self.submit(0)
        self.world.run(seconds)
        self.world.store.silent = True
        self.world.run(0.6)
        self.kill(True, 0)
        self.world.store.silent = False

    @rule(seconds=st.floats(0.1, 0.5))
    def orders_come_late(self, seconds: float) -> None:
        self.world.late_order_share = 1.0
        self.submit(0)
        self.world.run(seconds)
        self.world.late_order_share = 0.0
        self.world.run(6.0)

    @rule(seconds=st.floats(0.02, 0.3), first=st.booleans())
    def leader_dies_and_a_runner_is_cut_off(self, seconds: float, first: bool) -> None:
        self.submit(0)
        self.world.run(seconds)
        runner = self.alive(0 if first else -1)
        if runner is None:
            return
        self.cut_off(runner)
        self.kill(True, 0)

    def cut_off(self, runner: Runner) -> None:
        """Cut a runner off from all instances, also from those that come later."""
        names = [*self.world.instances, *(f"entry-{chr(97 + n % 26)}{n}" for n in range(40))]
        self.world.unreachable.update((name, runner.name) for name in names)

    @rule(silent_s=st.floats(3.0, 5.5), reached_s=st.floats(0.1, 1.0), refused=st.booleans())
    def leader_reaches_a_silent_runner_and_dies(
        self, silent_s: float, reached_s: float, refused: bool
    ) -> None:
        instance = self.instance(0)
        if instance is None:
            return
        job = f"{len(self.outcomes):04x}"
        self.world.lasting_jobs.add(job)
        self.outcomes[job] = instance.submit(job, LASTING)
        self.first_at[job] = self.world.now
        self.submissions[job] += 1
        self.cancelled.add(job)
        self.world.run(0.5)
        busy = [one for one in self.world.runners.values() if any(k.job == job for k in one.tasks)]
        if not busy:
            return
        self.cut_off(busy[0])
        self.kill(True, 0)
        self.world.run(silent_s)
        leader = self.world.leader()
        if leader is None:
            return
        if refused:
            self.world.store.refused_instances.add(leader.name)
        self.world.unreachable.discard((leader.name, busy[0].name))
        self.world.run(reached_s)
        if leader.name in self.world.instances:
            leader.kill()
            self.replace()
        self.world.run(6.0)

    @rule(pick=st.integers(0, 9))
    def crash_runner(self, pick: int) -> None:
        runner = self.alive(pick)
        if runner is None:
            return
        runner.crash()
        self.world.add_runner(runner.name).work_s = WORK_S

    @rule(pick=st.integers(0, 9), restart_delay_s=st.floats(0.02, 3.0), soon=st.booleans())
    def runner_starts_again_under_its_id(
        self, pick: int, restart_delay_s: float, soon: bool
    ) -> None:
        runner = self.alive(pick)
        if runner is None:
            return
        self.world.keeps_id_share = 1.0
        self.world.crash(runner, restart_delay_s)
        self.world.keeps_id_share = 0.0
        if not soon:
            self.world.run(restart_delay_s)

    @rule(pick=st.integers(0, 9), leader=st.booleans())
    def cut_runner(self, pick: int, leader: bool) -> None:
        runner = self.alive(pick)
        instance = self.world.leader() if leader else self.instance(pick)
        if instance is not None and runner is not None:
            self.world.unreachable.add((instance.name, runner.name))

    @rule()
    def mend_cuts(self) -> None:
        self.world.unreachable.clear()

    @invariant()
    def nothing_is_broken(self) -> None:
        if hasattr(self, "world"):
            assert self.world.violations == []

    def teardown(self) -> None:
        if hasattr(self, "world"):
            self._heal()
            assert self.world.violations == []
            self._check_jobs()
            if self.world.crashing:
                self._check_crashing()

    def _check_crashing(self) -> None:
        one = next(iter(self.world.instances.values()))
        self.world.run_until(
            lambda: one.index.phase(JobId(CRASHING_JOB)) in (None, JobPhase.FAILED)
        )
        starts = self.world.starts_after_crashes(TaskKey(JobId(CRASHING_JOB), 0, 0, 0), 3)
        assert starts <= MAX_STARTS, f"{starts} starts after the third crash"

    def _heal(self) -> None:
        world = self.world
        world.store.silent = False
        world.store.refused_instances.clear()
        world.store.lost_append_answer_share = world.store.late_append_share = (
            world.late_order_share
        ) = 0.0
        world.lost_answer_share = world.max_transit_s = world.repeated_call_share = 0.0
        world.unreachable.clear()
        if world.lasting_jobs:
            world.run(CANCEL_AFTER_S)
            for job in sorted(world.lasting_jobs):
                self._cancel_lasting(job)
        world.run(HEAL_S)

    def _cancel_lasting(self, job: str) -> None:
        outcomes: list[Any] = []
        for _ in range(MAX_CANCELS):
            one = next(iter(self.world.instances.values()))
            one.intake.cancel(JobId(job), outcomes.append)
            self.world.run(1.0)
            if IntakeOutcome.STORED in outcomes:
                return

    def _check_jobs(self) -> None:
        one = next(iter(self.world.instances.values()))
        for job, outcomes in self.outcomes.items():
            phase = one.index.phase(JobId(job))
            if phase is None and self.world.now - self.first_at[job] > ENDED_JOB_RETENTION_S:
                continue  # Its records were dropped: it ended before the retention time.
            if IntakeOutcome.STORED in outcomes:
                assert phase in FINAL, f"{job} was accepted and is {phase}"
                if job not in self.cancelled:
                    assert phase is JobPhase.COMPLETED, f"{job} is {phase}"
            refused = [outcome for outcome in outcomes if outcome is IntakeOutcome.NOT_STORED]
            if len(refused) == self.submissions[job]:
                assert phase is None, f"{job} was refused and is {phase}"


def run_machine(examples: int, steps: int) -> None:
    run_examples(Faults, examples, steps)
