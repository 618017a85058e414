"""Hand on to a successor how long the leases of runners that a leader never reached may still run.

A leader releases a run at a runner that it cannot reach once every lease that an earlier leader may
have granted there has passed. An earlier leader that never reached the runner granted none itself:
its successor counts from the leader before it. Otherwise each handover would start the count again,
and after a loss of power, when small instances lead first, work would wait for all of them.
"""

import msgspec

from spoolcrank.ids import Incarnation
from spoolcrank.leadership import Claim, Leadership
from spoolcrank.mechanisms import Mechanism
from spoolcrank.runner_state import CLOCK_DRIFT
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import RunnerId


def begin_term(
    leadership: Leadership, now: float, lease_ms: int, without: frozenset[Mechanism]
) -> Scheduler:
    """Return the state of a new leader, without any jobs and runners."""
    term = leadership.claim.term
    state = Scheduler(term, now, leadership.predecessor_wrote_at, lease_ms)
    state.without = without
    state.inherited_since = {
        RunnerId(runner): since for runner, since in leadership.unreached_since(term).items()
    }
    return state


def resignation(
    leadership: Leadership, state: Scheduler, successor: Incarnation, now: float
) -> Claim:
    """Return the claim by which a leader resigns; from then on it reaches no further runner."""
    state.resigned = True
    unreached_ms = {
        runner.id: round((now - state.leases_run_from(runner.id)) * (1.0 - CLOCK_DRIFT) * 1000.0)
        for runner in state.runners.values()
        if runner.runs and not runner.adopted
    }
    claim = leadership.own_claim(resigned=True, successor=successor)
    return msgspec.structs.replace(claim, unreached_ms=unreached_ms)
