"""The jobs API and the operators' commands of an instance, over a core that a test sets."""

import json
import time
from types import SimpleNamespace
from typing import Any

from spoolcrank._web import HttpReply, HttpRequest
from spoolcrank.config_api import ConfigApi
from spoolcrank.decisions import DecisionHistory
from spoolcrank.ids import AvailabilityZone, Incarnation, InstanceId, JobId, Offset
from spoolcrank.jobs import JobSpec
from spoolcrank.jobs_api import JobsApi
from spoolcrank.ledger_records import apply
from spoolcrank.membership import Members
from spoolcrank.metrics import Metrics
from spoolcrank.operators import Operators
from spoolcrank.pending_lookups import PendingLookups
from spoolcrank.published_config import PublishedConfig
from spoolcrank.records import Envelope, JobAccepted
from spoolcrank.state import Core, new_core

JOB = JobId("job-1")


class ImmediateTimers:
    """Timers that fire at once, after the action that a test has set."""

    def __init__(self) -> None:
        self.before_fire = lambda: None

    def after(self, delay_s: float, action: Any) -> None:
        self.before_fire()
        action()


class EntryApi:
    """The jobs API and the operators' commands of one instance, over a ledger of a given age.

    The configuration is as old as the ledger unless its age is given, too.
    """

    def __init__(self, age_s: float = 0.0, config_age_s: float | None = None) -> None:
        now = time.monotonic()
        members = Members(
            InstanceId("entry-a1"), Incarnation("entry-a1-1"), AvailabilityZone("a"), now
        )
        self.core: Core = new_core(members)
        self.core.log_ok_at = now - age_s
        self.core.config_read_at = now - (age_s if config_age_s is None else config_age_s)
        self.timers = ImmediateTimers()
        none: Any = self.timers
        self.lookups = PendingLookups(none)
        untyped: Any = (
            SimpleNamespace(
                core=self.core, config=PublishedConfig(), responders={}, lookups=self.lookups
            ),
            self.timers,
        )
        controller, timers = untyped
        self._jobs = JobsApi(controller, timers, Metrics())
        self._config = ConfigApi(controller, self._jobs, timers)
        self._operators = Operators(
            controller, self._jobs, self._config, DecisionHistory(), timers, Metrics()
        )

    def accept(self) -> None:
        """Apply the record of a job."""
        record = JobAccepted(job=JOB, spec=JobSpec(name="x"))
        apply(
            self.core.ledger,
            Offset(0),
            Envelope(writer=Incarnation("w"), seq=1, at=1.0, record=record),
        )

    def ask(self, method: str) -> HttpReply:
        """Return the answer about the job."""
        answers: list[HttpReply] = []
        self._jobs.serve(HttpRequest(method, f"/jobs/{JOB}", {}, {}, b"", ""), answers.append)
        return answers[0]

    def list_jobs(self) -> HttpReply:
        """Return the list of all jobs."""
        answers: list[HttpReply] = []
        self._jobs.serve(HttpRequest("GET", "/jobs", {}, {}, b"", ""), answers.append)
        return answers[0]

    def read_config(self) -> HttpReply:
        """Return the configuration in force."""
        answers: list[HttpReply] = []
        req = HttpRequest("GET", "/config", {}, {}, b"", "")
        self._config.serve(req, answers.append)
        return answers[0]

    def command(self, text: str) -> HttpReply:
        """Return the answer to an operator's command."""
        answers: list[HttpReply] = []
        body = json.dumps({"text": text}).encode()
        self._operators.serve(HttpRequest("POST", "/commands", {}, {}, body, ""), answers.append)
        return answers[0]
