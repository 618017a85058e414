"""Leaders with one task each, held for each of the reasons there are."""

from spoolcrank.binding import bind, move
from spoolcrank.ids import JobId
from spoolcrank.leadership_monitor import (
    BLOCK_LOG_DELAY_S,
    LeadershipMonitor,
    PlacingBlock,
    log_placing_block,
)
from spoolcrank.objective import Prospect
from spoolcrank.openings import Shortage, scope_of, size_of
from spoolcrank.pending_writes import BoundRun
from spoolcrank.runner_state import RunnerState
from spoolcrank.runs import RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import CrashEvidence, Phase, RunnerId, Step, TaskKey
from tests.packed_runners import NOISY, NOW, SERVICE, SERVING, SHORT, leader, put, runner
from tests.test_room_beside_waits import add_job

JOB = JobId("cd")
KEY = TaskKey(JOB, 0, 0, 0)
GANG = Step(count=2, millicores=20_000, memory_mb=100, gang=True)
LASTING = Step(count=1, millicores=3000, memory_mb=100, lasting=True)
CRASHES = (CrashEvidence("gone-1"), CrashEvidence("gone-2"))


def held_state(step: Step = SHORT, runners: int = 1) -> Scheduler:
    state = leader(*(runner(f"r{number}") for number in range(runners)))
    add_job(state, JOB, step, 0)
    return state


def first_runner(state: Scheduler) -> RunnerState:
    return next(iter(state.runners.values()))


def bound_hold(stage: RunStage) -> Scheduler:
    state = held_state()
    bind(state, state.jobs[JOB], KEY, 1, first_runner(state), NOW)
    first_runner(state).runs[KEY].stage = stage
    return state


def earlier_step_hold() -> Scheduler:
    state = held_state()
    add_job(state, "ef", SHORT, 1, later=SHORT)
    return state


def not_in_ready_list_hold() -> Scheduler:
    state = held_state()
    del state.ready[JOB]
    return state


def places_nothing_hold() -> Scheduler:
    state = held_state()
    monitor = LeadershipMonitor(NOW)
    for at in (NOW - BLOCK_LOG_DELAY_S, NOW):
        log_placing_block(monitor, state, PlacingBlock.OLD_LIST, 2.0, at)
    return state


def retry_delay_hold() -> Scheduler:
    state = held_state()
    state.jobs[JOB].task(KEY).not_before = NOW + 0.7
    return state


def unknown_run_hold() -> Scheduler:
    state = held_state()
    state.unknown_runs[first_runner(state).id] = frozenset({KEY})
    return state


def gang_members_hold() -> Scheduler:
    state = held_state(GANG)
    step = state.jobs[JOB].rounds[0].steps[0]
    step.tasks[1].phase = Phase.BOUND
    del step.waiting[1]
    return state


def isolation_hold() -> Scheduler:
    state = held_state()
    state.jobs[JOB].task(KEY).crashes = CRASHES
    return state


def own_runner_settles_hold() -> Scheduler:
    state = isolation_hold()
    first_runner(state).isolated_for, first_runner(state).isolated_since = KEY, NOW - 0.5
    return state


def move_hold() -> Scheduler:
    state = held_state(SERVING, runners=2)
    bind(state, state.jobs[JOB], KEY, 1, first_runner(state), NOW)
    move(state, KEY, RunnerId("r0"), RunnerId("r1"), NOW)
    return state


def no_runner_hold() -> Scheduler:
    state = held_state(runners=3)
    silent, leaving, old = state.runners.values()
    silent.silent_since = NOW - 1.0
    leaving.leaving_from = NOW - 1.0
    old.answered_at = NOW - 5.0
    return state


def label_hold() -> Scheduler:
    return held_state(Step(count=1, millicores=1000, memory_mb=10, label="gpu"))


def spread_hold() -> Scheduler:
    state = held_state(Step(count=2, millicores=1000, memory_mb=10, max_per_instance=1))
    bind(state, state.jobs[JOB], KEY._replace(number=1), 1, first_runner(state), NOW)
    return state


def capacity_hold() -> Scheduler:
    return held_state(Step(count=1, millicores=1000, memory_mb=70_000))


def not_asked_hold() -> Scheduler:
    state = held_state(Step(count=1, millicores=20_000, memory_mb=100), runners=2)
    put(first_runner(state), GANG, job="ef")
    list(state.runners.values())[1].answered_at = NOW - 5.0
    return state


def reserve_hold() -> Scheduler:
    state = held_state(LASTING)
    first_runner(state).used_millicores = 28_000
    state.reserve = 5000
    return state


def processors_hold() -> Scheduler:
    state = held_state(NOISY)
    for number in range(8):
        put(first_runner(state), NOISY, number)
    return state


def over_target_hold() -> Scheduler:
    state = held_state(NOISY)
    serving = put(first_runner(state), SERVING, tail_ms=120.0)
    first_runner(state).runs[serving].over_target_since = NOW - 1.0
    return state


def harm_hold() -> Scheduler:
    state = held_state(NOISY)
    put(first_runner(state), SERVING, tail_ms=40.0)
    return state


def start_window_hold() -> Scheduler:
    state = held_state()
    state.starts.held_back = True
    return state


def start_waits_for_window_hold() -> Scheduler:
    state = bound_hold(RunStage.RECORDED)
    state.pending_writes.starts.clear()
    state.starts.waiting.append(BoundRun(RunnerId("r0"), KEY, 1))
    return state


def short_of_room_hold(step: Step) -> Scheduler:
    """Return a state in which another step of the same scope and size found no runner."""
    state = held_state(step)
    state.last_pass.shortages[scope_of(SERVICE, step)] = Shortage(size_of(step))
    return state


def claimed_hold() -> Scheduler:
    state = held_state(NOISY)
    state.last_pass.claimed[SERVICE, "noisy"] = Prospect.BEGUN
    return state


def tried_hold() -> Scheduler:
    state = held_state()
    state.placing.tried[KEY.step_key] = NOW
    return state


def run_unknown_hold() -> Scheduler:
    state = bound_hold(RunStage.RUNNING)
    first_runner(state).runs.clear()
    return state


def unordered_hold() -> Scheduler:
    state = bound_hold(RunStage.RECORDED)
    state.pending_writes.starts.clear()
    return state
