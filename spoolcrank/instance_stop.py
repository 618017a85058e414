"""Carry a planned stop of an instance out: state by state, until nothing read is unanswered."""

from collections.abc import Callable

from spoolcrank._timers import Timers
from spoolcrank._web import WebServer
from spoolcrank.job_intake import JobIntake
from spoolcrank.open_requests import OpenRequests, given_up, tell_given_up
from spoolcrank.planned_stop import Standing, StopState, StopTimes, next_state
from spoolcrank.telemetry import Telemetry

CHECK_S = 0.05
"""Between two looks at what a stop waits for, s; a sixth of its shortest state."""


class InstanceStop:
    """One planned stop.

    Attributes:
        times: when its states end at the latest.
        web: the address of the clients.
        intake: what passes their wishes to the store.
        asked: their requests without an answer.
        give_up: answers those that wait for the store.
        leads: tells whether the leadership is not given up yet.
        finish: ends the process.
    """

    def __init__(
        self,
        times: StopTimes,
        web: WebServer,
        intake: JobIntake,
        asked: OpenRequests,
        give_up: Callable[[], int],
        leads: Callable[[], bool],
        finish: Callable[[], None],
        timers: Timers,
        telemetry: Telemetry,
        clock: Callable[[], float],
    ) -> None:
        self._times = times
        self._web = web
        self._intake = intake
        self._asked = asked
        self._give_up = give_up
        self._leads = leads
        self._finish = finish
        self._timers = timers
        self._telemetry = telemetry
        self._clock = clock
        self._begun_at = clock()
        self._state = StopState.SERVING

    def begin(self) -> None:
        """Close connections with their answers from now on, and look at each state's end."""
        self._web.close_after_answers()
        self._tell("stopping")
        self._check()

    def _check(self) -> None:
        if self._state is not StopState.ENDED:
            # Set first: a look that fails must not be the last one.
            self._timers.after(CHECK_S, self._check)
        since_s = self._clock() - self._begun_at
        if self._state is StopState.REFUSING and since_s >= self._times.idle_end_s:
            self._web.close_idle()
        elif self._state is StopState.SENDING:
            self._web.close_unanswerable()
        standing = Standing(self._web.connections, self._leads())
        state = next_state(self._state, self._times, since_s, standing)
        if state is not self._state:
            self._state = state
            self._enter(state)

    def _enter(self, state: StopState) -> None:
        if state is StopState.REFUSING:
            self._intake.end()
            accepted = self._web.stop_listening()
            self._tell("intake-ended", accepted=accepted.taken, not_accepted=accepted.failed)
        elif state is StopState.SENDING:
            self._web.stop_reading()
            self._tell("answers-ended", given_up=self._give_up())
        elif state is StopState.ENDED:
            self._end()

    def _end(self) -> None:
        now = self._clock()
        requests = given_up(self._asked, self._web.unsent)
        tell_given_up(requests, self._begun_at, now, self._telemetry.log)
        self._tell("stop")
        self._telemetry.flush()
        self._finish()

    def _tell(self, name: str, **fields: object) -> None:
        self._telemetry.log(
            name,
            grave=True,
            after_s=round(self._clock() - self._begun_at, 2),
            unanswered=self._web.unanswered,
            connections=self._web.connections,
            half_sent=self._web.half_sent,
            leads=self._leads(),
            **fields,
        )
