"""Execute operators' commands and answer their queries about the whole fleet."""

import json
import time
from collections.abc import Iterable
from functools import partial
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Success

from spoolcrank import explain
from spoolcrank._timers import Timers
from spoolcrank._web import HttpRequest, Reply, json_reply
from spoolcrank.config_api import ConfigApi, Row
from spoolcrank.controller import Controller
from spoolcrank.decisions import DecisionHistory
from spoolcrank.errors import ErrorKind, Refusal
from spoolcrank.fleet import Role
from spoolcrank.ids import CommandId, InstanceId, JobId, unique
from spoolcrank.jobs import TaskState, refusal_of
from spoolcrank.jobs_api import JobsApi, ledger_age, summary
from spoolcrank.language import (
    Cancel,
    ConfigCommand,
    DrainCommand,
    Lost,
    Parsed,
    Set,
    Show,
    Why,
    matches,
    parse,
)
from spoolcrank.membership import is_alive
from spoolcrank.metrics import Metrics
from spoolcrank.records import (
    AnyRecord,
    DeclaredLost,
    Drained,
    JobsCancelled,
)
from spoolcrank.routing_stop import LEAVING
from spoolcrank.state import Core

QUERY_WHY = "why"
_PEER_ANSWER_TIMEOUT_S = 1.0


class CommandRequest(BaseModel):
    """A command as it arrives over HTTP.

    Attributes:
        text: the command in the operators' command language.
        id: the id of the command; a repeated id returns the first answer.
        by: the name of the operator, as stored and shown with the command.
    """

    model_config = ConfigDict(extra="forbid")

    text: str
    id: CommandId = Field(default_factory=lambda: CommandId(unique("cmd")))
    by: str = Field(default="operator", max_length=100)


class Operators:
    """Handler of `/commands`."""

    def __init__(
        self,
        controller: Controller,
        jobs: JobsApi,
        config: ConfigApi,
        decisions: DecisionHistory,
        timers: Timers,
        metrics: Metrics,
    ) -> None:
        self._controller = controller
        self._jobs = jobs
        self._config = config
        self._decisions = decisions
        self._timers = timers
        self._metrics = metrics
        controller.responders[QUERY_WHY] = self._local_answer_json

    @property
    def _core(self) -> Core:
        return self._controller.core

    def serve(self, req: HttpRequest, reply: Reply) -> None:
        """Serve `POST /commands`."""
        try:
            request = CommandRequest.model_validate_json(req.body)
        except ValidationError as exc:
            self._jobs.refuse(refusal_of(exc), reply)
            return
        match parse(request.text):
            case Failure(refusal):
                self._jobs.refuse(refusal, reply)
            case Success(command):
                self._metrics.incr(f"commands.{type(command).__name__.lower()}")
                self._run(command, request, reply)

    def _run(self, command: Parsed, request: CommandRequest, reply: Reply) -> None:
        match command:
            case Show():
                self._show(command, reply)
            case Why():
                self._why(command, reply)
            case Cancel():
                self._cancel(command, request, reply)
            case DrainCommand():
                self._drain(command, request, reply)
            case Lost():
                self._lost(command, request, reply)
            case Set():
                self._config.set_value(command, request.id, request.by, reply)
            case ConfigCommand():
                rows = self._config.rows(command.what)
                reply(json_reply(200, {"rows": rows, **self._config.age()}))

    def _show(self, command: Show, reply: Reply) -> None:
        rows = [row for row in self._rows(command.what) if matches(row, command.filters)]
        age = self._config.age() if command.what == "config" else self._age()
        reply(json_reply(200, {"rows": rows, "not_asked": self._unreachable_zones(), **age}))

    def _limits(self) -> dict[str, Any]:
        """Return what an answer may lack: zones without contact, and the newest records."""
        return {"not_asked": self._unreachable_zones(), **self._age()}

    def _age(self) -> dict[str, Any]:
        return ledger_age(self._core, time.monotonic())

    def _unreachable_zones(self) -> list[str]:
        now = time.monotonic()
        members = self._core.members
        entries = [instance for instance in members.listed.values() if instance.role is Role.ENTRY]
        zones = {str(instance.availability_zone) for instance in members.listed.values()}
        reachable = {
            str(entry.availability_zone)
            for entry in entries
            if is_alive(members, entry.id, self._core.policy, now)
        }
        return sorted(zones - reachable)

    def _rows(self, what: str) -> Iterable[Row]:
        match what:
            case "jobs":
                return [summary(self._core.ledger, job) for job in self._core.ledger.jobs.values()]
            case "pending" | "running" | "refused":
                return explain.task_rows(self._core, TaskState(what))
            case "workers":
                return explain.worker_rows(self._core, time.monotonic())
            case "instances":
                return explain.instance_rows(self._core, time.monotonic())
            case _:
                return self._config.rows("all")

    def _why(self, command: Why, reply: Reply) -> None:
        """Explain a task, job or request from the facts of this instance and of its peers.

        The answer is sent once all live peers have answered, or after _PEER_ANSWER_TIMEOUT_S.
        """
        if self._jobs.closing:
            self._jobs.refuse(LEAVING, reply)
            return
        peers = [
            peer.heartbeat.sender
            for peer in self._core.members.peers.values()
            if is_alive(
                self._core.members, peer.heartbeat.sender, self._core.policy, time.monotonic()
            )
        ]
        asked_at = time.monotonic()
        answers = [json.loads(self._local_answer_json(command.name))]
        waiting = len(peers)
        answered = False

        def finish() -> None:
            nonlocal answered
            if answered:
                return
            answered = True
            detail = f"unknown id {command.name!r}: no task, job or recent request has it"
            unknown = Refusal(ErrorKind.NO_SUCH_JOB, detail, command.name)
            facts = [answer for answer in answers if answer]
            look = partial(self._answer_why, command.name, facts, reply)
            self._jobs.look_up(look, lambda: unknown, reply, asked_at)

        def on_answer(text: str | None) -> None:
            nonlocal waiting
            waiting -= 1
            if text is not None:
                answers.append(json.loads(text))
            if waiting <= 0:
                finish()

        for peer in peers:
            self._controller.ask(peer, QUERY_WHY, command.name, on_answer)
        if not peers:
            finish()
        self._timers.after(_PEER_ANSWER_TIMEOUT_S, finish)

    def _local_answer_json(self, name: str) -> str:
        decision = self._decisions.find(name)
        if decision is not None:
            return json.dumps({"decision": decision._asdict(), "by": self._core.members.me})
        return json.dumps(explain.local_facts(self._core, name, time.monotonic()))

    def _answer_why(self, name: str, answers: list[dict[str, Any]], reply: Reply) -> bool:
        """Answer and return True, or return False if the id is unknown."""
        answer = explain.why(self._core, name, answers)
        if answer is None:
            return False
        body = {"sentence": answer.sentence, "facts": answer.facts, **self._limits()}
        reply(json_reply(200, body))
        return True

    def _cancel(self, command: Cancel, request: CommandRequest, reply: Reply) -> None:
        def unknown() -> Refusal:
            name = next(name for name in command.jobs if name not in self._core.ledger.jobs)
            return Refusal(ErrorKind.NO_SUCH_JOB, f"no job {name!r}", name)

        look = partial(self._cancel_known, command, request, reply)
        self._jobs.look_up(look, unknown, reply, time.monotonic())

    def _cancel_known(self, command: Cancel, request: CommandRequest, reply: Reply) -> bool:
        """Cancel and return True, or return False if a job is unknown."""
        ledger = self._core.ledger
        unknown = any(name not in ledger.jobs for name in command.jobs)
        if unknown and request.id not in ledger.verdicts:
            return False
        jobs = [JobId(name) for name in command.jobs]
        if command.filters:
            rows = [summary(ledger, job) for job in ledger.jobs.values() if job.open]
            jobs = [JobId(row["id"]) for row in rows if matches(row, command.filters)]
        if command.preview:
            rows = [summary(ledger, ledger.jobs[job]) for job in jobs]
            detail = f"would cancel {len(rows)} jobs"
            reply(json_reply(200, {"rows": rows, "detail": detail, **self._limits()}))
            return True
        record = JobsCancelled(jobs=jobs, command=request.id, by=request.by)
        self._record(record, request.id, reply)
        return True

    def _drain(self, command: DrainCommand, request: CommandRequest, reply: Reply) -> None:
        listed = self._core.members.listed
        racks = {instance.rack for instance in listed.values()}
        if command.target not in listed and command.target not in racks:
            detail = f"no instance or rack {command.target!r}"
            self._jobs.refuse_unlisted(detail, command.target, reply)
            return
        record = Drained(target=command.target, on=command.on, command=request.id, by=request.by)
        self._record(record, request.id, reply)

    def _lost(self, command: Lost, request: CommandRequest, reply: Reply) -> None:
        server = InstanceId(command.server)
        row = next(
            (
                worker
                for worker in explain.worker_rows(self._core, time.monotonic())
                if worker["instance"] == server
            ),
            None,
        )
        if row is None:
            detail = f"no backend server {server!r}"
            self._jobs.refuse_unlisted(detail, server, reply)
            return
        if row["ready"]:
            detail = f"{server} answers its owner {row['owner']}; it is not lost"
            self._jobs.refuse(Refusal(ErrorKind.BAD_COMMAND, detail, server), reply)
            return
        record = DeclaredLost(server=server, command=request.id, by=request.by)
        self._record(record, request.id, reply)

    def _record(self, record: AnyRecord, command: CommandId, reply: Reply) -> None:
        """Append a command to the log and reply with its verdict once it is applied."""

        def reply_verdict() -> None:
            verdict = self._core.ledger.verdicts.get(command)
            if verdict is None:
                detail = "the command's verdict is no longer stored"
                self._jobs.refuse(Refusal(ErrorKind.LOG_ANSWER_UNKNOWN, detail), reply)
                return
            body = {"ok": verdict.ok, "detail": verdict.detail, "id": command}
            reply(json_reply(200 if verdict.ok else 409, body))

        if command in self._core.ledger.verdicts:
            reply_verdict()
        else:
            self._jobs.record(record, reply_verdict, reply)
