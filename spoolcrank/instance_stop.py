"""Carry out a planned stop of an instance, state by state, until each read request is answered."""

from collections.abc import Callable

from spoolcrank._timers import Timers
from spoolcrank._web import WebServer
from spoolcrank.job_intake import JobIntake
from spoolcrank.open_requests import OpenRequests, abandoned_requests, log_given_up
from spoolcrank.planned_stop import RemainingWork, StopState, StopTimes, next_state
from spoolcrank.telemetry import Telemetry
from spoolcrank.web_group import WebGroup

CHECK_INTERVAL_S = 0.05
"""Time between two checks of what a stop waits for, in seconds: a sixth of its shortest state."""


class InstanceStop:
    """One planned stop of an instance.

    Args:
        times: latest end of each state.
        web: server of the address that clients use, or those of clients and peers.
        intake: passes the clients' jobs, queries and cancellations to the store.
        open_requests: requests that have no answer yet.
        give_up: answers the requests that wait for the store; returns their number.
        is_leader: returns whether the instance has not given up leadership yet.
        finish: ends the process.
    """

    def __init__(
        self,
        times: StopTimes,
        web: WebServer | WebGroup,
        intake: JobIntake,
        open_requests: OpenRequests,
        give_up: Callable[[], int],
        is_leader: Callable[[], bool],
        finish: Callable[[], None],
        timers: Timers,
        telemetry: Telemetry,
        clock: Callable[[], float],
    ) -> None:
        self._times = times
        self._web = web
        self._intake = intake
        self._open_requests = open_requests
        self._give_up = give_up
        self._is_leader = is_leader
        self._finish = finish
        self._timers = timers
        self._telemetry = telemetry
        self._clock = clock
        self._started_at = clock()
        self._check_due_at = self._started_at
        self._longest_delay_s = 0.0
        self._sending_s = 0.0
        self._state = StopState.SERVING

    def begin(self) -> None:
        """Start the stop: close each connection with its next answer and check states regularly."""
        self._web.close_after_answers()
        # A loop that stood still reads what arrived meanwhile before its next check.
        self._web.read_until(self._started_at + self._times.answers_end_s)
        self._log("stopping")
        self._check()

    def _check(self) -> None:
        if self._state is not StopState.ENDED:
            # Schedule the next check first, so that an exception in this one does not end them.
            self._timers.after(CHECK_INTERVAL_S, self._check)
        now = self._clock()
        delay_s = now - self._check_due_at
        self._longest_delay_s = max(self._longest_delay_s, delay_s)
        self._check_due_at = now + CHECK_INTERVAL_S
        since_s = now - self._started_at
        if self._state is StopState.REFUSING and since_s >= self._times.idle_end_s:
            self._web.close_idle()
        elif self._state is StopState.SENDING:
            if delay_s <= CHECK_INTERVAL_S:
                self._sending_s += CHECK_INTERVAL_S
            self._web.close_unanswerable()
        remaining = RemainingWork(
            self._web.connections,
            self._is_leader(),
            self._web.connections_with_work,
            self._sending_s,
        )
        state = next_state(self._state, self._times, since_s, remaining)
        if state is not self._state:
            self._state = state
            self._enter(state)

    def _enter(self, state: StopState) -> None:
        if state is StopState.REFUSING:
            self._intake.end()
            result = self._web.stop_listening()
            self._log("intake-ended", accepted=result.accepted, not_accepted=result.failure)
        elif state is StopState.SENDING:
            self._web.stop_reading()
            self._log("answers-ended", given_up=self._give_up())
        elif state is StopState.ENDED:
            self._end()

    def _end(self) -> None:
        now = self._clock()
        requests = abandoned_requests(self._open_requests, self._web.unsent)
        log_given_up(requests, self._started_at, now, self._telemetry.log)
        self._log("stop", **self._web.stop_counts._asdict())
        self._telemetry.flush()
        self._finish()

    def _log(self, name: str, **fields: object) -> None:
        self._telemetry.log(
            name,
            important=True,
            after_s=round(self._clock() - self._started_at, 2),
            unanswered=self._web.unanswered,
            connections=self._web.connections,
            half_sent=self._web.partly_received,
            leads=self._is_leader(),
            longest_delay_s=round(self._longest_delay_s, 3),
            **fields,
        )
