"""A hypothesis state machine of faults around takeovers: late claims, ends and loads of the log.

The check is that nothing whose end was acknowledged to its runner starts again, and that every
acknowledged failure is recorded exactly once.
"""

import hypothesis.strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from spoolcrank.ids import JobId
from spoolcrank.job_intake import IntakeOutcome
from spoolcrank.keyed_log import LEADER_KEY, KeyedRecord, progress_key
from spoolcrank.leader_writer import FIRST_SEQUENCE
from spoolcrank.store_port import Append, WriterFence
from spoolcrank.workflow import FINAL, JobPhase, TaskKey, encode
from tests.fleet_runners import MAX_IN_FLIGHT_S
from tests.fleet_world import Instance, Runner
from tests.state_machines import run_examples
from tests.takeover_fleet import (
    MAX_ATTEMPTS,
    ROOM_MILLICORES,
    RUNNERS,
    WORK_S,
    WORKFLOWS,
    job_record,
    recorded_failures,
    takeover_fleet,
)

SHORT_WORK_S = 0.4
FAILS_AFTER_S = 0.3
LISTED_AFTER_S = 2.5
"""Time after a partition in which its runners are polled, seconds: two polls without an answer."""

HEAL_S = 40.0
REPLACEMENTS = 60
"""Number of instances that may be started in one example."""

SHORT_S = st.floats(0.02, 0.8)
OUTAGE_S = st.floats(0.3, 6.0)
CUT_S = st.floats(0.5, 14.0)
"""Range of a runner's isolation in seconds, shorter and longer than its leases."""


class TakeoverFaults(RuleBasedStateMachine):
    """Jobs, ends, takeovers, late and lost appends, slow and repeated loads, in any order."""

    @initialize(seed=st.integers(0, 1 << 16), ends=st.sampled_from([500, 2]))
    def begin(self, seed: int, ends: int) -> None:
        self.world = takeover_fleet(seed)
        self.world.max_ends_per_answer = ends
        # A known fault: a restarted runner carries out a late order if no call has reached it yet.
        self.world.late_orders_outlive_restart = False
        self.outcomes: dict[str, list[IntakeOutcome]] = {}
        self.failing: set[str] = set()
        self.cancelled: set[str] = set()
        self.replacements = 0

    # Parts of the fleet

    def _instance(self, pick: int, leader: bool) -> Instance | None:
        if leader:
            return self.world.leader()
        names = sorted(self.world.instances)
        return self.world.instances[names[pick % len(names)]] if names else None

    def _runner(self, pick: int) -> Runner:
        return sorted(self.world.runners.values(), key=lambda one: one.name)[pick % RUNNERS]

    def _replace(self, processors: float = 1.0) -> None:
        self.replacements += 1
        if self.replacements < REPLACEMENTS:
            self.world.add_instance(f"entry-r{self.replacements}", processors)

    def _submit(self, instance: Instance, kind: str) -> str:
        """Submit a job whose key sorts before those of all earlier ones, so that it loads first."""
        job = f"{0xEFFF - len(self.outcomes):04x}"
        workflow = WORKFLOWS[kind]
        outcomes = self.outcomes[job] = []
        instance.intake.submit(JobId(job), job_record(workflow), outcomes.append)
        return job

    def _work_takes(self, seconds: float) -> None:
        for runner in self.world.runners.values():
            runner.work_s = seconds

    def _cut(self, runner: Runner, seconds: float, leader_only: bool) -> None:
        names = [f"entry-{n}" for n in range(4)] + [f"entry-r{n}" for n in range(REPLACEMENTS)]
        leader = self.world.leader()
        if leader_only and leader is not None:
            names = [leader.name]
        links = {(name, runner.name) for name in names}
        self.world.unreachable |= links
        self.world.at(seconds, lambda: self.world.unreachable.difference_update(links))

    # Work

    @rule(pick=st.integers(0, 5), kind=st.sampled_from(sorted(WORKFLOWS)), wait_s=SHORT_S)
    def submit(self, pick: int, kind: str, wait_s: float) -> None:
        instance = self._instance(pick, leader=False)
        if instance is not None:
            self._submit(instance, kind)
        self.world.run(wait_s)

    @rule(pick=st.integers(0, 5), wait_s=SHORT_S)
    def submit_failing(self, pick: int, wait_s: float) -> None:
        instance = self._instance(pick, leader=False)
        if instance is not None:
            job = self._submit(instance, "one")
            self.failing.add(job)
            self.world.failing[job] = FAILS_AFTER_S
        self.world.run(wait_s)

    @rule()
    def failing_work_is_mended(self) -> None:
        self.world.failing.clear()

    @rule(pick=st.integers(0, 5), which=st.integers(0, 50))
    def cancel(self, pick: int, which: int) -> None:
        instance = self._instance(pick, leader=False)
        if instance is not None and self.outcomes:
            job = sorted(self.outcomes)[which % len(self.outcomes)]
            self.cancelled.add(job)
            instance.intake.cancel(JobId(job), lambda outcome: None)

    @rule(seconds=SHORT_S)
    def wait(self, seconds: float) -> None:
        self.world.run(seconds)

    @rule(seconds=st.floats(1.0, 10.0))
    def wait_long(self, seconds: float) -> None:
        self.world.run(seconds)

    # Leaders

    @rule(pick=st.integers(0, 5), leader=st.booleans(), wait_s=SHORT_S)
    def kill(self, pick: int, leader: bool, wait_s: float) -> None:
        victim = self._instance(pick, leader)
        if victim is not None:
            victim.kill()
            self._replace()
        self.world.run(wait_s)

    @rule(pick=st.integers(0, 5), leader=st.booleans(), seconds=OUTAGE_S)
    def freeze(self, pick: int, leader: bool, seconds: float) -> None:
        victim = self._instance(pick, leader)
        if victim is not None:
            victim.freeze(seconds)

    @rule(wait_s=SHORT_S)
    def leader_resigns(self, wait_s: float) -> None:
        leader = self.world.leader()
        if leader is not None:
            leader.dispatcher.leave(leader.kill)
            self._replace()
        self.world.run(wait_s)

    @rule(wait_s=st.floats(0.5, 3.0))
    def a_larger_instance_joins(self, wait_s: float) -> None:
        self._replace(processors=4.0 + self.replacements)
        self.world.run(wait_s)

    @rule(
        page_s=st.sampled_from([0.06, 0.12, 0.2]),
        read_s=st.sampled_from([0.002, 0.6, 1.5]),
        pages=st.floats(0.3, 3.0),
        kind=st.sampled_from(sorted(WORKFLOWS)),
        dies=st.booleans(),
    )
    def late_claim_is_stored_while_its_instance_loads(
        self, page_s: float, read_s: float, pages: float, kind: str, dies: bool
    ) -> None:
        """Carry out an earlier claim, after jobs began that the claimant's first page lacks."""
        world, leader = self.world, self.world.leader()
        others = [one for one in world.instances.values() if one is not leader]
        if leader is None or not others:
            return
        claimant = others[0]
        world.store.slow_pages_s[claimant.name] = page_s
        world.store.slow_reads_s[claimant.name] = read_s
        claimant.follower.begin()
        world.run(1.5 * page_s)
        self._work_takes(SHORT_WORK_S)
        self._submit(leader, kind)
        world.run(pages * page_s)
        self._work_takes(WORK_S)
        if claimant.follower.copy.loaded or claimant.dispatcher.scheduler is not None:
            return
        claim = claimant.leadership.next_claim(world.now)
        fence = WriterFence(claim.term, FIRST_SEQUENCE)
        world.store.jobs.append(Append([KeyedRecord(LEADER_KEY, encode(claim))], fence))
        if dies and leader.alive:
            leader.kill()
            self._replace()
        world.run(2.0 * read_s)

    # The store

    @rule(pick=st.integers(0, 5), leader=st.booleans(), seconds=st.sampled_from([0.1, 0.5, 1.5]))
    def reads_are_slow(self, pick: int, leader: bool, seconds: float) -> None:
        instance = self._instance(pick, leader)
        if instance is not None:
            self.world.store.slow_reads_s[instance.name] = seconds
            self.world.store.slow_pages_s[instance.name] = seconds / 5.0

    @rule()
    def reads_are_fast(self) -> None:
        self.world.store.slow_reads_s.clear()
        self.world.store.slow_pages_s.clear()

    @rule()
    def history_is_dropped(self) -> None:
        self.world.store.jobs.first_retained_offset = len(self.world.store.jobs.records)

    @rule(lost=st.sampled_from([0.0, 0.4]), late=st.sampled_from([0.0, 0.3]))
    def appends_are_lost_or_late(self, lost: float, late: float) -> None:
        self.world.store.lost_append_answer_share = lost
        self.world.store.late_append_share = late

    @rule(seconds=OUTAGE_S, leader=st.booleans(), pick=st.integers(0, 5))
    def store_refuses_an_instance(self, seconds: float, leader: bool, pick: int) -> None:
        instance = self._instance(pick, leader)
        if instance is None:
            return
        refused, name = self.world.store.refused_instances, instance.name
        refused.add(name)
        self.world.at(seconds, lambda: refused.discard(name))

    @rule(wait_s=st.floats(0.5, 1.4), silent_s=SHORT_S, kind=st.sampled_from(sorted(WORKFLOWS)))
    def leader_dies_without_the_store_as_tasks_end(
        self, wait_s: float, silent_s: float, kind: str
    ) -> None:
        self.submit(0, kind, wait_s)
        self.world.store.silent = True
        self.world.run(silent_s)
        self.kill(0, leader=True, wait_s=0.0)
        self.world.store.silent = False

    # Runners

    @rule(pick=st.integers(0, 5), seconds=CUT_S, leader_only=st.booleans())
    def cut_runner(self, pick: int, seconds: float, leader_only: bool) -> None:
        self._cut(self._runner(pick), seconds, leader_only)

    @rule(
        pick=st.integers(0, 5),
        begun_s=st.floats(0.05, 0.6),
        seconds=CUT_S,
        kind=st.sampled_from(sorted(WORKFLOWS)),
    )
    def leader_dies_as_a_runner_is_cut(
        self, pick: int, begun_s: float, seconds: float, kind: str
    ) -> None:
        self.submit(0, kind, begun_s)
        self._cut(self._runner(pick), seconds, leader_only=False)
        self.kill(0, leader=True, wait_s=seconds + 1.0)

    @rule(
        pick=st.integers(0, 5),
        begun_s=st.floats(0.05, 0.6),
        seconds=st.floats(4.0, 14.0),
        kind=st.sampled_from(sorted(WORKFLOWS)),
        fails=st.booleans(),
        dies=st.booleans(),
    )
    def runner_is_cut_while_the_others_are_full(
        self, pick: int, begun_s: float, seconds: float, kind: str, fails: bool, dies: bool
    ) -> None:
        """Cut off the only runner with room, and start nothing until its ends were listed."""
        runner = self._runner(pick)
        others = [one for one in self.world.runners.values() if one is not runner]
        self._give_room(others, 0)
        self.world.run(0.1)
        if fails:
            self.submit_failing(pick, begun_s)
        else:
            self.submit(pick, kind, begun_s)
        self._cut(runner, seconds, leader_only=False)
        self._give_room([runner], 0)
        if dies:
            self.kill(0, leader=True, wait_s=0.0)
        self.world.run(seconds + LISTED_AFTER_S + MAX_IN_FLIGHT_S)
        self._give_room([runner, *others], ROOM_MILLICORES)
        self.world.run(1.0)

    def _give_room(self, runners: list[Runner], millicores: int) -> None:
        for runner in runners:
            runner.millicores = millicores
            self.world.store.entries.put(runner.id, b"ready")

    @rule(share=st.sampled_from([0.0, 0.3]), slow_s=st.sampled_from([0.0, 0.05, 0.25]))
    def answers_of_runners_are_lost_or_slow(self, share: float, slow_s: float) -> None:
        self.world.lost_answer_share = share
        self.world.max_transit_s = slow_s

    @rule(late=st.sampled_from([0.0, 0.3]), repeated=st.sampled_from([0.0, 0.1]))
    def calls_are_late_or_repeated(self, late: float, repeated: float) -> None:
        self.world.late_order_share = late
        self.world.repeated_call_share = repeated

    # Checks

    @invariant()
    def nothing_is_broken(self) -> None:
        if hasattr(self, "world"):
            assert not self.world.violations, str(self.world.violations)
            self._check_failures()

    def _check_failures(self) -> None:
        """Check that each failure is recorded once, from its acknowledgement on at the latest."""
        newest = {record.key: record.value for record in self.world.store.jobs.records}
        for job in self.failing:
            key = TaskKey(JobId(job), 0, 0, 0)
            stored = newest.get(progress_key(key.job), b"")
            for failures in recorded_failures(stored):
                acknowledged = len(self.world.noted_failures[key])
                ended = self.world.failed_runs[key]
                assert acknowledged <= failures <= ended, (
                    f"{key}: {failures} recorded, {acknowledged} acknowledged, {ended} ended"
                )

    def teardown(self) -> None:
        if not hasattr(self, "world"):
            return
        self._heal()
        self.nothing_is_broken()
        for job, outcomes in self.outcomes.items():
            self._check_job(JobId(job), outcomes)

    def _heal(self) -> None:
        world, store = self.world, self.world.store
        store.silent = False
        store.refused_instances.clear()
        store.slow_reads_s.clear()
        store.slow_pages_s.clear()
        store.lost_append_answer_share = store.late_append_share = 0.0
        world.lost_answer_share = world.max_transit_s = 0.0
        world.late_order_share = world.repeated_call_share = 0.0
        world.unreachable.clear()
        world.run(HEAL_S)

    def _check_job(self, job: JobId, outcomes: list[IntakeOutcome]) -> None:
        instance = next(iter(self.world.instances.values()))
        phase = instance.index.phase(job)
        if IntakeOutcome.STORED not in outcomes or (phase is None and self._was_dropped(job)):
            return
        assert phase in FINAL, f"{job} was accepted and is {phase}"
        if phase is JobPhase.FAILED:
            failed_runs = self.world.failed_runs[TaskKey(job, 0, 0, 0)]
            assert failed_runs >= MAX_ATTEMPTS, f"{job} failed after {failed_runs} recorded runs"
        elif phase is JobPhase.CANCELLED:
            assert job in self.cancelled, f"{job} was accepted and is cancelled"

    def _was_dropped(self, job: JobId) -> bool:
        deleted = KeyedRecord(progress_key(job), b"")
        return any(record[:2] == deleted[:2] for record in self.world.store.jobs.records)


def run_takeover_machine(examples: int, steps: int) -> None:
    run_examples(TakeoverFaults, examples, steps)
