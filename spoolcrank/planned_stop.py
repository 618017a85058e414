"""Decide which state a planned stop of an instance is in.

The states follow each other and each has an end of its own, so that whatever was read is answered
before the process ends:

- serving: not ready, so the balancer looks elsewhere; requests are served as always.
- refusing: intake has ended. The listener is closed once what waited was accepted; requests that
  come on open connections are refused as not run; what was passed to the store gets its answer.
- sending: what the store has not answered was answered as unknown; nothing is read any more, and
  answers go out.
- ended: the process ends.
"""

from enum import IntEnum
from typing import NamedTuple

from spoolcrank.job_intake import LONGEST_ANSWER_S

INTAKE_END_S = 2.5
"""After the signal to stop, requests are served for so long, s: the balancer asks each second and
goes by two answers, so it may send new connections for 2 s, and 0.5 s are left for slow links."""

LAST_REQUESTS_S = 0.25
"""From the end of intake, connections on which nothing came stand for so long, s: what waited to
be accepted may have its request still on its way. Half of the queueing at which the platform
calls a link choked."""

LAG_S = 0.3
"""What the loop may be late in all while the store is waited for, s: three tenths of a second in
which an allotment of processor time gives nothing."""

LAST_BYTES_S = 0.3
"""For the last answers to be handed to the kernel, s; a client that reads does so at once."""

SPARE_S = 1.0
"""Left of the grace when the process ends, s: the interpreter took 0.08 s to end by itself, and up
to 0.5 s after a stop on a machine with more busy processes than cores."""


class StopState(IntEnum):
    """Where a planned stop is."""

    SERVING = 0
    REFUSING = 1
    SENDING = 2
    ENDED = 3


class StopTimes(NamedTuple):
    """When each state ends at the latest, seconds after the signal.

    Attributes:
        intake_end_s: of serving.
        idle_end_s: from then on connections without a request are closed.
        answers_end_s: of refusing.
        end_s: of sending.
    """

    intake_end_s: float
    idle_end_s: float
    answers_end_s: float
    end_s: float


class Standing(NamedTuple):
    """What a stop still waits for.

    Attributes:
        connections: of clients, that stand.
        leads: whether the leadership is not given up yet.
    """

    connections: int
    leads: bool


def stop_times(grace_s: float) -> StopTimes:
    """Divide the time from the signal until the process would be killed.

    Intake ends so early that all that was read can be answered within the bounds of the store's
    calls; where the grace is shorter than usual, that shortens serving.
    """
    end_s = max(0.0, grace_s - SPARE_S)
    answers_end_s = max(0.0, end_s - LAST_BYTES_S)
    longest_s = LONGEST_ANSWER_S + LAG_S
    intake_end_s = max(0.0, min(INTAKE_END_S, answers_end_s - longest_s))
    idle_end_s = min(answers_end_s, intake_end_s + LAST_REQUESTS_S)
    return StopTimes(intake_end_s, idle_end_s, answers_end_s, end_s)


def next_state(
    before: StopState, times: StopTimes, since_s: float, standing: Standing
) -> StopState:
    """Return the state at a time after the signal; a late look passes over none of the states."""
    if before is StopState.SERVING:
        return StopState.REFUSING if since_s >= times.intake_end_s else before
    if not standing.connections and not standing.leads:
        return StopState.ENDED
    if before is StopState.REFUSING:
        return StopState.SENDING if since_s >= times.answers_end_s else before
    return StopState.ENDED if since_s >= times.end_s else before
