"""Decide which state a planned stop of an instance is in.

The states follow one another and each has its own time limit, so that every request that was read
is answered before the process ends:

- serving: the instance reports that it is not ready, so the load balancer chooses others; requests
  are served as usual.
- refusing: intake has ended. Pending connections are accepted and the listener is closed; new
  requests on open connections are refused as not run; requests already passed to the store get
  their answers.
- sending: requests that the store did not answer in time are answered as unknown; nothing more is
  read, and the remaining answers are sent. While one of them is not sent yet, the state lasts up to
  half a second longer, and until the event loop has run for the time that sending may take.
- ended: the process ends.
"""

from enum import IntEnum
from typing import NamedTuple

from spoolcrank.job_intake import MAX_ANSWER_S

INTAKE_END_S = 2.5
"""Time from the stop signal until intake ends, in seconds.

The load balancer checks readiness every second and decides by two answers, so new connections may
arrive for 2 s; the other 0.5 s allow for slow links."""

IDLE_CONNECTION_GRACE_S = 0.25
"""Time after the end of intake before connections without a request are closed, in seconds.

The request of a connection that was accepted last may still be on its way. This is half of the
queueing delay from which the platform treats a link as congested."""

LOOP_LAG_ALLOWANCE_S = 0.3
"""Total delay of the event loop to allow for while requests wait for the store, in seconds.

The process may get no processor time for three tenths of a second once its allotment is used up."""

SEND_ALLOWANCE_S = 0.3
"""Time reserved for passing the last answers to the kernel, in seconds.

For a client that reads its connection, the kernel takes them at once."""

EXIT_MARGIN_S = 1.0
"""Part of the grace period that is left for the process to exit, in seconds.

The interpreter takes longer to exit on a machine with more busy processes than cores."""


MIN_EXIT_MARGIN_S = 0.5
"""Part of the grace period that is left for the process to exit if answers are still being sent,
in seconds. A process that is killed after its last answer has cut no request."""


class StopState(IntEnum):
    """State of a planned stop, in the order in which the states follow one another."""

    SERVING = 0
    REFUSING = 1
    SENDING = 2
    ENDED = 3


class StopTimes(NamedTuple):
    """Latest end of each state, in seconds after the stop signal.

    Attributes:
        intake_end_s: end of serving.
        idle_end_s: time from which connections without a request are closed.
        answers_end_s: end of refusing.
        end_s: end of sending.
        latest_end_s: end of sending while answers to requests that were read are not sent yet.
    """

    intake_end_s: float
    idle_end_s: float
    answers_end_s: float
    end_s: float
    latest_end_s: float


class RemainingWork(NamedTuple):
    """Work that a planned stop still waits for.

    Attributes:
        connections: number of open client connections.
        leads: whether the instance has not given up leadership yet.
        unanswered: number of connections with bytes or requests that were read and whose answers
            are not sent yet.
        sending_s: for how long the event loop has run in the state of sending, in seconds; time up
            to a check that came late does not count.
    """

    connections: int
    leads: bool
    unanswered: int = 0
    sending_s: float = SEND_ALLOWANCE_S


def stop_times(grace_s: float) -> StopTimes:
    """Divide the grace period, at whose end the process is killed, among the states.

    Intake ends early enough for every request that was read to be answered within the time limits
    of the store's calls; a grace period that is shorter than usual shortens serving first.
    """
    end_s = max(0.0, grace_s - EXIT_MARGIN_S)
    answers_end_s = max(0.0, end_s - SEND_ALLOWANCE_S)
    max_answer_s = MAX_ANSWER_S + LOOP_LAG_ALLOWANCE_S
    intake_end_s = max(0.0, min(INTAKE_END_S, answers_end_s - max_answer_s))
    idle_end_s = min(answers_end_s, intake_end_s + IDLE_CONNECTION_GRACE_S)
    latest_end_s = max(end_s, grace_s - MIN_EXIT_MARGIN_S)
    return StopTimes(intake_end_s, idle_end_s, answers_end_s, end_s, latest_end_s)


def next_state(
    current: StopState, times: StopTimes, since_s: float, remaining: RemainingWork
) -> StopState:
    """Return the state at a time after the stop signal; a late check does not skip a state."""
    if current is StopState.SERVING:
        return StopState.REFUSING if since_s >= times.intake_end_s else current
    if not remaining.connections and not remaining.leads:
        return StopState.ENDED
    if current is StopState.REFUSING:
        return StopState.SENDING if since_s >= times.answers_end_s else current
    if not remaining.unanswered:
        return StopState.ENDED if since_s >= times.end_s else current
    may_end = since_s >= times.latest_end_s and remaining.sending_s >= SEND_ALLOWANCE_S
    return StopState.ENDED if may_end else current
