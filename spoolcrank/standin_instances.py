"""Simulate the platform's list of live and leaving instances, which lags behind."""

import json
import time
from collections import deque

from pydantic import ValidationError

from spoolcrank._runtime import Runtime, print_ready
from spoolcrank._web import HttpRequest, Reply, json_reply
from spoolcrank.fleet import Instance, dump_list, parse_file
from spoolcrank.ids import Address, InstanceId

_GONE = "gone"


class InstancesStandin:
    """Serve the list as it was `lag_s` seconds ago."""

    def __init__(
        self, runtime: Runtime, listen: Address, instances: list[Instance], lag_s: float
    ) -> None:
        self._lag_s = lag_s
        self._down = False
        self._instances = {instance.id: instance for instance in instances}
        self._snapshots: deque[tuple[float, list[Instance]]] = deque([(0.0, instances)])
        self.web = runtime.serve(listen, self.answer)

    def answer(self, req: HttpRequest, reply: Reply) -> None:
        """Answer one request: read or change the list, or set a fault."""
        parts = req.path.strip("/").split("/")
        if parts == ["faults"]:
            self._down = json.loads(req.body or b"{}").get("mode") == "down"
            reply(json_reply(200, {"down": self._down}))
        elif self._down:
            reply(json_reply(503, {"error": "down"}))
        elif parts == ["instances"] and req.method == "GET":
            reply(json_reply(200, dump_list(self._lagged_list(time.time()))))
        elif len(parts) == 2 and parts[0] == "instances" and req.method == "PUT":
            self._change(InstanceId(parts[1]), req, reply)
        elif len(parts) == 2 and parts[0] == "instances" and req.method == "DELETE":
            self._instances.pop(InstanceId(parts[1]), None)
            self._take_snapshot()
            reply(json_reply(200, {"id": parts[1], "state": _GONE}))
        else:
            reply(json_reply(404, {"error": "no such path"}))

    def _change(self, instance: InstanceId, req: HttpRequest, reply: Reply) -> None:
        previous = self._instances.get(instance)
        fields = previous.model_dump(mode="json") if previous else {"id": instance}
        try:
            changed = Instance.model_validate(fields | json.loads(req.body or b"{}"))
        except (ValidationError, ValueError, TypeError) as exc:
            reply(json_reply(400, {"error": str(exc)}))
            return
        self._instances[instance] = changed
        self._take_snapshot()
        reply(json_reply(200, changed.model_dump(mode="json")))

    def _take_snapshot(self) -> None:
        self._snapshots.append((time.time(), list(self._instances.values())))

    def _lagged_list(self, now: float) -> list[Instance]:
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= now - self._lag_s:
            self._snapshots.popleft()
        return self._snapshots[0][1]


def run(listen: Address, instances: list[Instance], lag_s: float) -> None:
    """Run the stand-in until the process is stopped."""
    runtime = Runtime()
    standin = InstancesStandin(runtime, listen, instances, lag_s)
    print_ready(role="instances", listen=f"{standin.web.host}:{standin.web.port}")
    runtime.run_here()


def read_fleet(path: str) -> list[Instance]:
    """Return the instances of a fleet file.

    Raises OSError if the file cannot be read, and TOMLDecodeError or ValidationError if its content
    is invalid.
    """
    with open(path, encoding="utf-8") as file:
        return parse_file(file.read())
