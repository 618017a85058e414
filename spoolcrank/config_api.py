"""Serve the configuration API: show, check and publish the configuration."""

import time
from functools import partial
from typing import Any

from returns.result import Failure, Success

from spoolcrank import policy
from spoolcrank._timers import Timers
from spoolcrank._web import HttpRequest, Reply, json_reply, refusal_reply
from spoolcrank.controller import Controller
from spoolcrank.errors import ErrorKind, Refusal
from spoolcrank.ids import CommandId, unique
from spoolcrank.jobs_api import JobsApi, config_age
from spoolcrank.language import Set
from spoolcrank.records import ConfigRecord
from spoolcrank.routing_stop import LEAVING

_CONFIRM_TIMEOUT_S = 5.0
"""Time limit for a published configuration to be read back, in seconds."""

_CHECK_INTERVAL_S = 0.05

Row = dict[str, Any]
"""One row of an answer to operators, by the names of its columns."""


class ConfigApi:
    """Handler of `/config`, `/config/check`, and of commands about the configuration."""

    def __init__(self, controller: Controller, jobs: JobsApi, timers: Timers) -> None:
        self._controller = controller
        self._jobs = jobs
        self._timers = timers

    def serve(self, req: HttpRequest, reply: Reply) -> None:
        """Serve `GET /config`, `POST /config` and `POST /config/check`."""
        if req.method == "GET":
            config = self._controller.config
            body = {"version": config.version, "toml": config.toml}
            reply(json_reply(200, body | self.age()))
            return
        text = req.body.decode("utf-8", "replace")
        match policy.parse(text):
            case Failure(refusal):
                self._jobs.refuse(refusal, reply)
            case Success(_) if req.path == "/config/check":
                reply(json_reply(200, {"ok": True, "detail": "the configuration is valid"}))
            case Success(_):
                version = req.query.get("if_version", str(self._controller.config.version))
                if not version.isdigit():
                    detail = "if_version must be an integer"
                    self._jobs.refuse(Refusal(ErrorKind.BAD_FIELD, detail, "if_version"), reply)
                    return
                command = CommandId(req.query.get("id", unique("cmd")))
                record = ConfigRecord(
                    toml=text,
                    if_version=int(version),
                    command=command,
                    by=req.query.get("by", "operator"),
                )
                self._publish(record, reply)

    def age(self) -> dict[str, Any]:
        """Return the field about the age of an old configuration, none for a fresh one."""
        return config_age(self._controller.core, time.monotonic())

    def rows(self, what: str) -> list[Row]:
        """Return the changes, or all values, or those that differ from their defaults."""
        config = self._controller.config
        if what == "history":
            return [change._asdict() for change in config.history]
        current = policy.flatten(config.toml)
        defaults = policy.flatten("")
        return [
            {
                "name": name,
                "value": value,
                "default": defaults.get(name, ""),
                "version": config.version,
            }
            for name, value in current.items()
            if what == "all" or value != defaults.get(name)
        ]

    def set_value(self, command: Set, command_id: CommandId, by: str, reply: Reply) -> None:
        """Change one value as an operator's command asks, and publish the configuration."""
        config = self._controller.config
        change = self._find_change(command_id)
        if change is None and command.if_version not in (None, config.version):
            last = config.history[-1] if config.history else None
            changed_by = f", last changed by {last.command} of {last.by}" if last else ""
            detail = f"the version is {config.version}{changed_by}, not {command.if_version}"
            self._jobs.refuse_by_config(ErrorKind.STALE_VERSION, detail, "if-version", reply)
            return
        match policy.with_value(config.toml, command.key, command.value):
            case Failure(refusal):
                self._jobs.refuse(refusal, reply)
            case Success(toml):
                record = ConfigRecord(
                    toml=toml, if_version=config.version, command=command_id, by=by
                )
                self._publish(record, reply)

    def _find_change(self, command: CommandId) -> Any:
        history = self._controller.config.history
        return next((change for change in history if change.command == command), None)

    def _publish(self, record: ConfigRecord, reply: Reply) -> None:
        """Append a configuration and reply once it has been read back as accepted or rejected."""
        if self._find_change(record.command) is None:
            if self._jobs.closing:
                self._jobs.refuse(LEAVING, reply)
                return
            if not self._controller.core.log_status(time.monotonic()).log_ok:
                refusal = Refusal(ErrorKind.LOG_UNAVAILABLE, "the log is unavailable", "", 1.0)
                self._jobs.refuse(refusal, reply)
                return
            self._controller.log_link.publish(record, lambda offset: None)
        deadline = time.monotonic() + _CONFIRM_TIMEOUT_S
        self._await_change(record.command, deadline, reply)

    def _await_change(self, command: CommandId, deadline: float, reply: Reply) -> None:
        change = self._find_change(command)
        if change is not None:
            status = 200 if change.accepted else 409
            body = {
                "ok": change.accepted,
                "detail": change.detail,
                "version": change.version,
                "id": command,
            }
            reply(json_reply(status, body))
        elif time.monotonic() >= deadline:
            detail = "the change was not read back from the log in time; it may still take effect"
            reply(refusal_reply(Refusal(ErrorKind.LOG_ANSWER_UNKNOWN, detail)))
        else:
            retry = partial(self._await_change, command, deadline, reply)
            self._timers.after(_CHECK_INTERVAL_S, retry)
