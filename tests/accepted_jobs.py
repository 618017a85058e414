"""A hypothesis state machine of jobs that are accepted around losses, and of changing queues.

Jobs are handed in, again and at other instances, cancelled and stored late, just before and after
all instances lose power; queues go, move and return while their jobs wait; configurations, jobs and
progress are read in any order. The check is independent of the leader: some time after the last
event no accepted job waits beside idle capacity, and all that end by themselves have ended.
"""

from typing import Any

import hypothesis.strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from spoolcrank.ids import JobId
from spoolcrank.keyed_log import job_key, progress_key
from spoolcrank.scheduler import RoutePolicy
from spoolcrank.workflow import (
    JobPhase,
    JobRecord,
    Progress,
    Workflow,
    encode,
    encode_progress,
)
from tests.accepted_job_kinds import (
    CONFIGURATIONS,
    EARLIER_JOBS,
    ELSEWHERE,
    FINISH_S,
    INSTANCES,
    INTERVAL_MS,
    KINDS,
    MAX_ATTEMPTS,
    MAX_EXTRA_INSTANCES,
    ONE,
    PICKS,
    ROUNDS,
    RUNNERS,
    SHORT_S,
    STEPS,
    STORED_LATE_S,
    WATCH_S,
    DueRounds,
)
from tests.fleet_world import ROUTE, SERVICE, Instance
from tests.idle_capacity import Place, SizedWorld
from tests.state_machines import run_examples


class AcceptedJobs(RuleBasedStateMachine):
    """Jobs and cancels around losses of power, changing queues, and loads of the log."""

    @initialize(seed=st.integers(0, 1 << 16), configured=st.booleans())
    def begin(self, seed: int, configured: bool) -> None:
        self.world = world = SizedWorld(seed)
        # A known fault: a restarted runner carries out a late order if no call has reached it yet.
        world.late_orders_outlive_restart = False
        self.configuration = CONFIGURATIONS["whole"] if configured else {}
        self.count = self.extra = 0
        self.needs_queue = False
        self._put_earlier_jobs()
        for number in range(RUNNERS):
            name = f"10.0.{number % 3}.{number}:80"
            labels = frozenset({f"rack-{number % 3}"})
            world.places[name] = Place("abc"[number % 3], labels, 32_000, 128_000)
            world.add_runner(name)
        for number in range(INSTANCES):
            self._start(f"entry-{number}", 0.0)
        self.check = DueRounds(world)
        world.run_until(lambda: world.leader() is not None)
        world.run(0.2)

    def _put_earlier_jobs(self) -> None:
        for number in range(EARLIER_JOBS):
            job = JobId(f"f{number:03x}")
            record = JobRecord(ROUTE, SERVICE, 0, MAX_ATTEMPTS, 250, 1.5, Workflow("", (ONE,)))
            ended = Progress(JobPhase.COMPLETED.value, (), 1)
            self.world.store.jobs.put(job_key(job), encode(record))
            self.world.store.jobs.put(progress_key(job), encode_progress(ended))

    def _start(self, name: str, configured_after_s: float) -> None:
        """Start an instance, which reads the configuration later than its log at times."""
        instance = self.world.add_instance(name)

        def configure() -> None:
            if instance.alive:
                instance.dispatcher.set_routes(self.configuration)

        self.world.at(configured_after_s, configure)

    def _instance(self, pick: int) -> Instance | None:
        names = sorted(self.world.instances)
        return self.world.instances[names[pick % len(names)]] if names else None

    # Jobs

    def _hand_in(self, instance: Instance, job: str, kind: str, record: JobRecord) -> None:
        self.world.steps[job], self.world.work_s[job] = STEPS[kind], 0.8
        accepted = self.world.accepted

        def on_outcome(outcome: Any) -> None:
            if outcome.value == "kept":
                accepted.add(job)

        instance.intake.submit(JobId(job), record, on_outcome)

    def _record(self, kind: str) -> JobRecord:
        now_ms = self.world.now * 1000.0
        workflow = Workflow("", STEPS[kind])
        if kind == "rounds":
            first_at_ms = int(now_ms) + 1000
            workflow = Workflow("", STEPS[kind], ROUNDS, first_at_ms, INTERVAL_MS)
        policy = self.configuration.get(ROUTE)
        service = policy.service if policy is not None else SERVICE
        # A job that was accepted for runners that do not exist waits for its queue to move back.
        self.needs_queue = self.needs_queue or service is ELSEWHERE
        return JobRecord(ROUTE, service, 0, MAX_ATTEMPTS, 250, 1.5, workflow, int(now_ms))

    def _submit(self, pick: int, kind: str, first: bool) -> tuple[str, JobRecord] | None:
        """Hand a job in; its key sorts before all others, or after them."""
        instance = self._instance(pick)
        if instance is None:
            return None
        self.count += 1
        job = f"{(0x4FFF - self.count) if first else (0xF800 + self.count):04x}"
        if kind == "lasting":
            self.world.lasting_jobs.add(job)
        if kind == "gang":
            self.world.gang_jobs.add(job)
        record = self._record(kind)
        self._hand_in(instance, job, kind, record)
        return job, record

    @rule(pick=PICKS, kind=KINDS, first=st.booleans(), wait_s=SHORT_S)
    def submit(self, pick: int, kind: str, first: bool, wait_s: float) -> None:
        self._submit(pick, kind, first)
        self.world.run(wait_s)

    @rule(pick=PICKS, other=PICKS, kind=KINDS, wait_s=st.floats(0.0, 3.0))
    def submit_twice(self, pick: int, other: int, kind: str, wait_s: float) -> None:
        submitted = self._submit(pick, kind, True)
        self.world.run(wait_s)
        again = self._instance(other)
        if submitted is not None and again is not None:
            self._hand_in(again, submitted[0], kind, submitted[1])

    @rule(pick=PICKS, other=PICKS, kind=KINDS, wait_s=SHORT_S, first=st.booleans())
    def submit_and_cancel(
        self, pick: int, other: int, kind: str, wait_s: float, first: bool
    ) -> None:
        submitted = self._submit(pick, kind, first)
        self.world.run(wait_s)
        instance = self._instance(other)
        if submitted is not None and instance is not None:
            instance.intake.cancel(JobId(submitted[0]), lambda outcome: None)

    @rule(pick=PICKS, other=PICKS, kind=KINDS, wait_s=st.floats(0.0, 2.0))
    def a_job_is_stored_late_and_handed_in_again(
        self, pick: int, other: int, kind: str, wait_s: float
    ) -> None:
        store = self.world.store
        store.late_append_share = 1.0
        submitted = self._submit(pick, kind, True)
        self.world.run(0.01)
        store.late_append_share = 0.0
        self.world.run(wait_s)
        again = self._instance(other)
        if submitted is not None and again is not None:
            self._hand_in(again, submitted[0], kind, submitted[1])

    # Losses

    def _lose_all(self, away_s: float, apart_s: float, configured_after_s: float) -> None:
        names = sorted(self.world.instances)
        for name in names:
            self.world.instances[name].kill()
        for number, name in enumerate(names):
            self.world.at(
                away_s + number * apart_s, lambda name=name: self._start(name, configured_after_s)
            )
        self.world.run(away_s)

    @rule(
        pick=PICKS,
        kind=KINDS,
        moment=st.sampled_from(["sent", "accepted", "read", "begun"]),
        away_s=st.floats(0.1, 4.0),
        apart_s=st.sampled_from([0.0, 0.3]),
        configured_after_s=st.sampled_from([0.0, 0.5, 3.0]),
    )
    def all_lose_power_as_a_job_comes(
        self,
        pick: int,
        kind: str,
        moment: str,
        away_s: float,
        apart_s: float,
        configured_after_s: float,
    ) -> None:
        submitted = self._submit(pick, kind, True)
        if submitted is None:
            return
        job = JobId(submitted[0])
        moments = {
            "sent": lambda: False,
            "accepted": lambda: job in self.world.accepted,
            "read": lambda: self._is_known_to_the_leader(job),
            "begun": lambda: any(key.job == job for key in self.world.starts),
        }
        for _ in range(5 if moment == "sent" else 400):
            if moments[moment]():
                break
            self.world.run(0.001)
        self._lose_all(away_s, apart_s, configured_after_s)

    def _is_known_to_the_leader(self, job: JobId) -> bool:
        leader = self.world.leader()
        state = leader.dispatcher.scheduler if leader is not None else None
        return state is not None and job in state.jobs

    @rule(pick=PICKS, leader=st.booleans(), wait_s=SHORT_S, configured_after_s=SHORT_S)
    def kill(self, pick: int, leader: bool, wait_s: float, configured_after_s: float) -> None:
        victim = self.world.leader() if leader else self._instance(pick)
        if victim is not None and self.extra < MAX_EXTRA_INSTANCES:
            victim.kill()
            self.extra += 1
            self._start(f"entry-r{self.extra}", configured_after_s)
        self.world.run(wait_s)

    @rule(wait_s=SHORT_S)
    def leader_resigns(self, wait_s: float) -> None:
        leader = self.world.leader()
        if leader is not None and self.extra < MAX_EXTRA_INSTANCES:
            self.extra += 1
            leader.dispatcher.leave(lambda: leader.alive and leader.kill())  # type: ignore[arg-type, func-returns-value]
            self._start(f"entry-r{self.extra}", 0.0)
        self.world.run(wait_s)

    @rule(pick=PICKS, leader=st.booleans(), seconds=st.floats(0.3, 5.0))
    def freeze(self, pick: int, leader: bool, seconds: float) -> None:
        victim = self.world.leader() if leader else self._instance(pick)
        if victim is not None:
            victim.freeze(seconds)

    @rule(share=st.sampled_from([0.3, 1.0]), back_s=st.floats(0.8, 4.0))
    def runners_lose_power(self, share: float, back_s: float) -> None:
        alive = [runner for runner in self.world.runners.values() if runner.alive]
        for runner in alive[: max(1, round(share * len(alive)))]:
            self.world.crash(runner, back_s)

    # The store and the log

    @rule(seconds=st.floats(0.3, 4.0))
    def store_is_silent(self, seconds: float) -> None:
        self.world.store.silent = True
        self.world.run(seconds)
        self.world.store.silent = False

    @rule(seconds=st.floats(1.0, 9.0), everywhere=st.booleans())
    def reads_fail(self, seconds: float, everywhere: bool) -> None:
        """Have the leader's reads, or all, fail while the store takes appends."""
        leader = self.world.leader()
        instances = list(self.world.instances.values()) if everywhere else [leader]
        ports: list[Any] = [each.follower._log for each in instances if each is not None]
        for port in ports:
            port._is_unreachable = lambda: True
        self.world.run(seconds)
        for port in ports:
            del port._is_unreachable

    @rule(page_s=st.sampled_from([0.004, 0.1, 0.3]), read_s=st.sampled_from([0.002, 0.3, 0.8]))
    def loads_and_reads_are_slow(self, page_s: float, read_s: float) -> None:
        names = [f"entry-{n}" for n in range(INSTANCES)]
        names += [f"entry-r{n}" for n in range(MAX_EXTRA_INSTANCES)]
        self.world.store.slow_pages_s.update(dict.fromkeys(names, page_s))
        self.world.store.slow_reads_s.update(dict.fromkeys(names, read_s))

    @rule(pick=PICKS, kind=KINDS, other=PICKS, wait_s=SHORT_S, leader=st.booleans())
    def a_job_comes_while_a_copy_is_loaded(
        self, pick: int, kind: str, other: int, wait_s: float, leader: bool
    ) -> None:
        """Accept a job while the leader, or another instance, loads its copy in pages."""
        loading = self.world.leader() if leader else self._instance(other)
        if loading is not None:
            loading.follower.begin()
        self.world.run(wait_s / 4.0)
        self._submit(pick, kind, True)
        self.world.run(wait_s)

    @rule()
    def history_is_dropped(self) -> None:
        self.world.store.jobs.first_retained_offset = len(self.world.store.jobs.records)

    @rule(lost=st.sampled_from([0.0, 0.4]), late=st.sampled_from([0.0, 0.3]))
    def appends_are_lost_or_late(self, lost: float, late: float) -> None:
        self.world.store.lost_append_answer_share = lost
        self.world.store.late_append_share = late

    # Queues

    @rule(
        name=st.sampled_from(sorted(CONFIGURATIONS)),
        after_s=st.lists(st.sampled_from([0.0, 0.4, 2.0]), min_size=4, max_size=4),
        wait_s=st.floats(0.0, 3.0),
    )
    def queues_change(self, name: str, after_s: list[float], wait_s: float) -> None:
        """Publish a configuration, which the instances read at different times."""
        self._configure(CONFIGURATIONS[name], after_s)
        self.world.run(wait_s)

    def _configure(self, routes: dict[Any, RoutePolicy], after_s: list[float]) -> None:
        self.configuration = routes

        def read(instance: Instance) -> None:
            if instance.alive and self.configuration is routes:
                instance.dispatcher.set_routes(routes)

        for number, instance in enumerate(list(self.world.instances.values())):
            delay_s = after_s[number % len(after_s)]
            self.world.at(delay_s, lambda instance=instance: read(instance))

    @rule(seconds=st.floats(0.1, 6.0))
    def wait(self, seconds: float) -> None:
        self.world.run(seconds)

    # Checks

    @invariant()
    def nothing_is_broken(self) -> None:
        if hasattr(self, "world"):
            assert not self.world.violations, str(self.world.violations)

    def teardown(self) -> None:
        if not hasattr(self, "world"):
            return
        world = self.world
        self._heal()
        world.run(FINISH_S)
        self.check.watching = True
        world.run(WATCH_S)
        self.nothing_is_broken()
        told = [
            f"{each.what} at {each.at:.1f}: {each.why}" for each in self.check.violations.values()
        ]
        assert not told, "\n".join(told)
        left = [job for job in self.check.unfinished() if job not in world.lasting_jobs]
        assert not left, f"accepted and not ended: {left}"

    def _heal(self) -> None:
        world, store = self.world, self.world.store
        store.silent = False
        store.slow_reads_s.clear()
        store.slow_pages_s.clear()
        store.lost_append_answer_share = store.late_append_share = 0.0
        if self.needs_queue or self.configuration is CONFIGURATIONS["moved"]:
            self._configure(CONFIGURATIONS["whole"], [0.0])
        world.run_until(lambda: bool(world.instances), 20.0)
        thawed = max((each.frozen_until for each in world.instances.values()), default=0.0)
        world.run(max(0.0, thawed - world.now))
        # Jobs may be stored late, and runners and instances may still come back.
        world.run(STORED_LATE_S)


def run_accepted_jobs(examples: int, steps: int) -> None:
    run_examples(AcceptedJobs, examples, steps)
