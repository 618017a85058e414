"""Serve callers' requests: run the router's decisions over HTTP and between peers."""

import time
from collections import Counter

from circuits import BaseComponent, handler

from spoolcrank import known_runners, ownership, routing
from spoolcrank._http import HttpCall, HttpClient, HttpResult
from spoolcrank._timers import Timers
from spoolcrank._web import HttpReply, HttpRequest, Reply, refusal_reply
from spoolcrank._wire import Forward, Forwarded, Frame
from spoolcrank.caller_request import NOT_PASSED_ON, HeldRequest, parse_headers, passed_on
from spoolcrank.controller import Controller
from spoolcrank.decisions import Decision, Decisions
from spoolcrank.errors import ANSWERS, ErrorKind, Outcome, Refusal
from spoolcrank.fleet import Instance, Role
from spoolcrank.ids import Caller, InstanceId, RequestId, ServiceName, unique
from spoolcrank.keyed_requests import REQUEST_ID, KeyedRequests
from spoolcrank.logs import log
from spoolcrank.membership import Heartbeat, other_entries
from spoolcrank.metrics import Metrics
from spoolcrank.owned_server import Phase
from spoolcrank.records import join_key
from spoolcrank.route_state import (
    Count,
    Deliver,
    FreeSlots,
    Refuse,
    Request,
    Result,
    RouteAction,
    Router,
    Runner,
    ToPeer,
    ToRunner,
)
from spoolcrank.runner_answers import judge, public_id, result_of
from spoolcrank.state import can_act

TICK_S = 0.02
_GRACE_S = 10.0
_PEER_GRACE_S = 0.25
_RATE_SMOOTHING = 0.3


class Callers(BaseComponent):
    """Own the callers' requests that are under way."""

    channel = "callers"

    def __init__(
        self, controller: Controller, http: HttpClient, timers: Timers, metrics: Metrics
    ) -> None:
        super().__init__()
        self._controller = controller
        self._core = controller.core
        self._http = http
        self._metrics = metrics
        members = controller.core.members
        self.router = Router(members.me, members.zone)
        self._held: dict[RequestId, HeldRequest] = {}
        self._answers: dict[int, HttpReply] = {}
        self._keyed = KeyedRequests(
            controller, metrics, self._held, self._submit, self._refuse, self._flies
        )
        self.decisions = Decisions()
        self.closing = False
        self._arrived: Counter[ServiceName] = Counter()
        self._rates: dict[ServiceName, float] = {}
        controller.free_slots = self._free_slots
        controller.core.busy_slots = self._busy_slots
        controller.core.service_rate = self._service_rate
        controller.latency_s = self._latency_s
        timers.every(1.0, self._every_second)
        timers.every(TICK_S, self._tick)

    @property
    def under_way(self) -> int:
        """Return how many requests have no answer yet."""
        return len(self._held) + self._keyed.waiting

    def _free_slots(self, server: InstanceId) -> int:
        now = time.monotonic()
        if not can_act(self._core, now):
            return 0
        return routing.free_slots(self.router, server, self._core.policy, now)

    def _latency_s(self, server: InstanceId) -> float:
        runner = self.router.runners.get(server)
        return runner.latency_s if runner else 0.0

    def _service_rate(self, service: ServiceName) -> float:
        """Return the requests a second to a service over all entry instances, as ours go."""
        return self._rates.get(service, 0.0) * (1 + len(other_entries(self._core.members)))

    def _every_second(self) -> None:
        known_runners.fade(self.router, time.monotonic())
        for service in set(self._rates) | set(self._arrived):
            known = self._rates.get(service, 0.0)
            self._rates[service] = known + _RATE_SMOOTHING * (self._arrived[service] - known)
        self._arrived.clear()

    def _busy_slots(self, server: InstanceId) -> int:
        runner = self.router.runners.get(server)
        return runner.busy if runner else 0

    def serve(self, req: HttpRequest, reply: Reply) -> None:
        """Serve `/services/{service}/{path}`."""
        request = RequestId(unique("req"))
        service, _, rest = req.path.removeprefix("/services/").partition("/")
        parsed = self._parse(request, ServiceName(service), req)
        if isinstance(parsed, Refusal):
            self._refuse(request, parsed, reply)
            return
        path = f"/{rest}?{req.raw_query}" if req.raw_query else f"/{rest}"
        caller = Caller(req.headers.get("spoolcrank-caller", ""))
        key = req.headers.get("idempotency-key", "")
        self._arrived[parsed.service] += 1
        full_key = join_key(parsed.service, caller, key) if key else ""
        held = HeldRequest(
            req.method,
            path,
            passed_on(req.headers),
            req.body,
            parsed.deadline,
            reply,
            key=full_key,
        )
        if full_key:
            self._keyed.serve(parsed, held, reply)
        else:
            self._submit(parsed, held)

    def _parse(
        self, request: RequestId, service: ServiceName, req: HttpRequest
    ) -> Request | Refusal:
        now = time.monotonic()
        if self.closing:
            return Refusal(ErrorKind.LEAVING, "this instance is leaving", retry_after_s=0.1)
        if not self._controller.ready and not self._core.stopping:
            reason = f"this instance {self._controller.not_ready_reason()}"
            return Refusal(ErrorKind.NOT_READY, reason, retry_after_s=1.0)
        if req.method == "HEAD":
            return Refusal(ErrorKind.METHOD_NOT_ALLOWED, "HEAD is not served", "method")
        if not self._exists(service):
            return Refusal(ErrorKind.NO_SUCH_SERVICE, f"no service {service!r}", "service")
        return parse_headers(request, service, req, self._core.policy.routing.deadline_ms, now)

    def _exists(self, service: ServiceName) -> bool:
        return any(one.service == service for one in self._core.members.listed.values())

    def _flies(self, request: RequestId) -> bool:
        return request in self.router.flights

    def _submit(self, request: Request, held: HeldRequest) -> None:
        self._held[request.id] = held
        self._metrics.incr("requests")
        now = time.monotonic()
        self._sync()
        self._act(routing.submit(self.router, request, self._core.policy, now))

    def _tick(self) -> None:
        now = time.monotonic()
        self._sync()
        self._act(routing.tick(self.router, self._core.policy, now))
        self._keyed.tick(now)

    def _sync(self) -> None:
        """Let the router use exactly the runners that we own and may command now."""
        now = time.monotonic()
        members = self._core.members
        allowed = can_act(self._core, now)
        current = []
        for server, owned in self._core.owned.items():
            instance = members.listed.get(server)
            if instance is None or not instance.service or not allowed:
                continue
            if owned.phase is Phase.SILENT:
                continue
            if ownership.drained(members, self._core.ledger, server):
                continue
            runner = Runner(
                server,
                instance.service,
                instance.slots,
                open_from=owned.slots_from,
                held=owned.slots_held,
            )
            current.append(runner)
        known_runners.sync_runners(self.router, current)

    @handler("fleet_listed", channel="*")
    def _on_fleet_listed(self, instances: list[Instance]) -> None:
        entries = sum(one.role is Role.ENTRY for one in instances)
        shares: dict[ServiceName, float] = {}
        for one in instances:
            if one.service:
                shares[one.service] = shares.get(one.service, 0.0) + one.slots / max(1, entries)
        self.router.shares = shares

    def _act(self, actions: list[RouteAction]) -> None:
        for action in actions:
            match action:
                case ToRunner():
                    self._send_to_runner(action)
                case ToPeer():
                    self._send_to_peer(action)
                case Refuse():
                    self._finish(action.request, refusal=action.refusal)
                case Deliver():
                    self._finish(action.request, answer=self._answers.pop(action.attempt, None))
                case Count():
                    self._metrics.incr(action.name)

    def _send_to_runner(self, action: ToRunner) -> None:
        held = self._held[action.request]
        flight = self.router.flights[action.request]
        instance = self._core.members.listed[action.server]
        left_s = max(0.0, flight.req.deadline - time.monotonic())
        headers = {**held.headers, REQUEST_ID: public_id(action.request)}
        call = HttpCall(
            instance.address, held.method, held.path, headers, held.body, left_s + _GRACE_S
        )
        self._http.send(call, lambda result: self._on_runner(action, result))

    def _on_runner(self, action: ToRunner, result: HttpResult) -> None:
        outcome = judge(action.request, result)
        if outcome in (Result.ANSWERED, Result.SERVICE_ERROR):
            headers = {
                name: value
                for name, value in result.headers.items()
                if name not in NOT_PASSED_ON and name != "date"
            }
            if "content-type" in headers:
                headers["Content-Type"] = headers.pop("content-type")
            self._answers[action.attempt] = HttpReply(result.status, headers, result.body)
        elif outcome is not Result.NOT_SENT:
            self._metrics.incr(f"runner.{outcome.value}")
        now = time.monotonic()
        flight = self.router.flights.get(action.request)
        if flight is not None and outcome is Result.ANSWERED:
            self._metrics.timing("runner", now - flight.sent_at)
            self._controller.on_latency(action.server, now - flight.sent_at, now)
        self._act(
            routing.on_result(
                self.router, action.request, action.attempt, outcome, self._core.policy, now
            )
        )
        self._answers.pop(action.attempt, None)

    def _send_to_peer(self, action: ToPeer) -> None:
        held = self._held[action.request]
        flight = self.router.flights[action.request]
        now = time.monotonic()
        message = Forward(
            request=RequestId(f"{action.request}/{action.attempt}"),
            service=flight.req.service,
            method=held.method,
            path=held.path,
            headers=dict(held.headers),
            body=held.body,
            left_s=max(0.0, flight.req.deadline - now - _PEER_GRACE_S / 5),
            urgency=flight.req.urgency,
            repeatable=flight.req.repeatable,
        )
        self._metrics.incr("route.forwarded")
        if self._controller.peers.tell(action.peer, message):
            return
        self._act(
            routing.on_result(
                self.router,
                action.request,
                action.attempt,
                Result.NOT_SENT,
                self._core.policy,
                now,
            )
        )

    @handler("peer_heard", channel="*")
    def _on_peer_heard(self, frame: Frame) -> None:
        match frame.message:
            case Forward() as forward:
                self._on_forward(frame.sender, forward)
            case Forwarded() as forwarded:
                self._on_forwarded(forwarded)
            case Heartbeat() as beat:
                self._on_beat(beat)
            case _:
                pass

    @handler("peer_lost", channel="*")
    def _on_peer_lost(self, peer: InstanceId) -> None:
        now = time.monotonic()
        self._act(routing.forget_peer(self.router, peer, self._core.policy, now))

    def _on_beat(self, beat: Heartbeat) -> None:
        free: dict[ServiceName, list[FreeSlots]] = {}
        if not beat.leaving:
            for status in beat.servers:
                instance = self._core.members.listed.get(status.server)
                if instance is not None and instance.service:
                    known = free.setdefault(instance.service, [])
                    known.append(FreeSlots(status.free_slots, status.latency_s))
        known_runners.on_peer_slots(self.router, beat.sender, beat.zone, free, time.monotonic())

    def _on_forward(self, sender: InstanceId, forward: Forward) -> None:
        now = time.monotonic()
        request = Request(
            id=forward.request,
            service=forward.service,
            urgency=forward.urgency,
            repeatable=forward.repeatable,
            arrived_at=now,
            deadline=now + forward.left_s,
            origin=sender,
        )
        self._metrics.incr("route.taken")
        self._submit(
            request,
            HeldRequest(
                forward.method,
                forward.path,
                forward.headers,
                forward.body,
                request.deadline,
                origin=sender,
            ),
        )

    def _on_forwarded(self, message: Forwarded) -> None:
        request_text, _, attempt_text = message.request.rpartition("/")
        request, attempt = RequestId(request_text), int(attempt_text)
        now = time.monotonic()
        if message.error is None:
            self._answers[attempt] = HttpReply(message.status, message.headers, message.body)
            result, refusal = Result.ANSWERED, None
        else:
            refusal = Refusal(message.error, message.detail, "", message.retry_after_s)
            result = result_of(message.error)
        self._act(
            routing.on_result(
                self.router, request, attempt, result, self._core.policy, now, refusal
            )
        )
        self._answers.pop(attempt, None)

    def _finish(
        self, request: RequestId, answer: HttpReply | None = None, refusal: Refusal | None = None
    ) -> None:
        held = self._held.pop(request, None)
        if held is None:
            return
        if answer is None and refusal is None:
            refusal = Refusal(ErrorKind.INTERNAL, "the answer was lost inside this instance")
        if held.origin is not None:
            self._finish_forward(request, held.origin, answer, refusal)
        if held.reply is None:
            return
        if held.key:
            outcome = ANSWERS[refusal.kind].outcome if refusal else Outcome.RAN
            self._keyed.record(held.key, request, outcome, answer)
        if refusal is not None:
            self._refuse(request, refusal, held.reply)
        elif answer is not None:
            self._metrics.incr("requests.answered")
            headers = {**answer.headers, REQUEST_ID: request}
            held.reply(HttpReply(answer.status, headers, answer.body))

    def _finish_forward(
        self,
        request: RequestId,
        origin: InstanceId,
        answer: HttpReply | None,
        refusal: Refusal | None,
    ) -> None:
        message = Forwarded(
            request=request,
            error=refusal.kind if refusal else None,
            detail=refusal.detail if refusal else "",
            status=answer.status if answer else 0,
            headers=dict(answer.headers) if answer else {},
            body=answer.body if answer else b"",
            server=InstanceId(""),
            retry_after_s=refusal.retry_after_s if refusal else 0.0,
        )
        self._controller.peers.tell(origin, message)

    def _refuse(self, request: RequestId, refusal: Refusal, reply: Reply) -> None:
        self._metrics.incr(f"refused.{refusal.kind.value}")
        version = self._controller.config.version
        self.decisions.keep(
            Decision(request, refusal.kind.value, refusal.detail, time.time(), version)
        )
        log("request.refused", request=request, error=refusal.kind.value, detail=refusal.detail)
        reply(refusal_reply(refusal, {REQUEST_ID: request}))
