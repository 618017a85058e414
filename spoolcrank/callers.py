"""Serve callers' requests: carry out the router's decisions over HTTP and between peers."""

import time
from collections import Counter

from circuits import BaseComponent, handler

from spoolcrank import known_runners, ownership, routing
from spoolcrank._http import HttpCall, HttpClient, HttpResult
from spoolcrank._timers import Timers
from spoolcrank._web import HttpReply, HttpRequest, Reply, refusal_reply
from spoolcrank._wire import Forward, Forwarded, Frame
from spoolcrank.caller_request import RequestContext, forwarded_headers, parse_headers
from spoolcrank.controller import Controller
from spoolcrank.decisions import Decision, DecisionHistory
from spoolcrank.errors import ANSWERS, ErrorKind, Outcome, Refusal
from spoolcrank.fleet import Instance, Role
from spoolcrank.ids import Caller, InstanceId, RequestId, ServiceName, unique
from spoolcrank.keyed_requests import REQUEST_ID_HEADER, KeyedRequests
from spoolcrank.logs import log
from spoolcrank.membership import Heartbeat, other_entries, refuse_unlisted
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
from spoolcrank.routing_stop import LEAVING, give_up
from spoolcrank.runner_answers import (
    classify_result,
    forwarded_message,
    public_id,
    reply_of,
    result_of_error,
)
from spoolcrank.state import can_act

TICK_S = 0.02
_GRACE_S = 10.0  # time after the deadline during which a runner's answer is still awaited
_PEER_MARGIN_S = 0.05  # part of the time left that a forwarded request does not get
_RATE_SMOOTHING = 0.3


class Callers(BaseComponent):
    """Serve the requests of callers and of forwarding peers until each has an answer."""

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
        self._contexts: dict[RequestId, RequestContext] = {}
        self._answers: dict[int, HttpReply] = {}
        self._keyed = KeyedRequests(
            controller, metrics, self._contexts, self._submit, self._refuse, self._is_routed
        )
        self.decisions = DecisionHistory()
        self.closing = False
        self._arrivals: Counter[ServiceName] = Counter()
        self._rates: dict[ServiceName, float] = {}
        controller.free_slots = self._free_slots
        controller.core.busy_slots = self._busy_slots
        controller.core.service_rate = self._service_rate
        controller.latency_s = self._latency_s
        timers.every(1.0, self._update_estimates)
        timers.every(TICK_S, self._tick)

    @property
    def unanswered(self) -> int:
        """Return how many requests have no answer yet, repeats of a key included."""
        return len(self._contexts) + self._keyed.waiting

    def give_up(self) -> None:
        """Answer every request now; `closing` must be set, so that no more are taken."""
        self._perform(give_up(self.router))
        self._keyed.give_up()

    def _free_slots(self, server: InstanceId) -> int:
        now = time.monotonic()
        if not can_act(self._core, now):
            return 0
        return routing.free_slots(self.router, server, self._core.policy, now)

    def _latency_s(self, server: InstanceId) -> float:
        runner = self.router.runners.get(server)
        return runner.latency_s if runner else 0.0

    def _service_rate(self, service: ServiceName) -> float:
        """Return the requests per second of a service, if all entry instances get equally many."""
        return self._rates.get(service, 0.0) * (1 + len(other_entries(self._core.members)))

    def _update_estimates(self) -> None:
        known_runners.decay_latencies(self.router, time.monotonic())
        for service in set(self._rates) | set(self._arrivals):
            rate = self._rates.get(service, 0.0)
            self._rates[service] = rate + _RATE_SMOOTHING * (self._arrivals[service] - rate)
        self._arrivals.clear()

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
        self._arrivals[parsed.service] += 1
        full_key = join_key(parsed.service, caller, key) if key else ""
        context = RequestContext(
            req.method,
            path,
            forwarded_headers(req.headers),
            req.body,
            parsed.deadline,
            reply,
            key=full_key,
        )
        if full_key:
            self._keyed.serve(parsed, context, reply)
        else:
            self._submit(parsed, context)

    def _parse(
        self, request: RequestId, service: ServiceName, req: HttpRequest
    ) -> Request | Refusal:
        now = time.monotonic()
        if self.closing:
            return LEAVING
        if not self._controller.ready and not self._core.stopping:
            reason = f"this instance {self._controller.not_ready_reason()}"
            return Refusal(ErrorKind.NOT_READY, reason, retry_after_s=1.0)
        if req.method == "HEAD":
            return Refusal(ErrorKind.METHOD_NOT_ALLOWED, "HEAD is not served", "method")
        if not self._is_listed(service):
            kind, detail = ErrorKind.NO_SUCH_SERVICE, f"no service {service!r}"
            return refuse_unlisted(self._core.members, kind, detail, "service", now)
        return parse_headers(request, service, req, self._core.policy.routing.deadline_ms, now)

    def _is_listed(self, service: ServiceName) -> bool:
        return any(listed.service == service for listed in self._core.members.listed.values())

    def _is_routed(self, request: RequestId) -> bool:
        return request in self.router.in_flight

    def _submit(self, request: Request, context: RequestContext) -> None:
        self._contexts[request.id] = context
        self._metrics.incr("requests")
        now = time.monotonic()
        self._sync_runners()
        self._perform(routing.submit(self.router, request, self._core.policy, now))

    def _tick(self) -> None:
        now = time.monotonic()
        self._sync_runners()
        self._perform(routing.tick(self.router, self._core.policy, now))
        self._keyed.tick(now)

    def _sync_runners(self) -> None:
        """Give the router exactly the runners that we own and may command now."""
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
                withheld_until=owned.inherited_until,
                withheld_slots=owned.inherited_slots,
            )
            current.append(runner)
        known_runners.sync_runners(self.router, current)

    @handler("fleet_listed", channel="*")
    def _on_fleet_listed(self, instances: list[Instance]) -> None:
        entries = sum(item.role is Role.ENTRY for item in instances)
        shares: dict[ServiceName, float] = {}
        for item in instances:
            if item.service:
                shares[item.service] = shares.get(item.service, 0.0) + item.slots / max(1, entries)
        self.router.slot_shares = shares

    def _perform(self, actions: list[RouteAction]) -> None:
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
        context = self._contexts[action.request]
        call = self.router.in_flight[action.request]
        instance = self._core.members.listed[action.server]
        left_s = max(0.0, call.req.deadline - time.monotonic())
        headers = {**context.headers, REQUEST_ID_HEADER: public_id(action.request)}
        http_call = HttpCall(
            instance.address, context.method, context.path, headers, context.body, left_s + _GRACE_S
        )
        self._http.send(http_call, lambda result: self._on_runner_answer(action, result))

    def _on_runner_answer(self, action: ToRunner, result: HttpResult) -> None:
        outcome = classify_result(action.request, result)
        if outcome in (Result.ANSWERED, Result.SERVICE_ERROR):
            self._answers[action.attempt] = reply_of(result)
        elif outcome is not Result.NOT_SENT:
            self._metrics.incr(f"runner.{outcome.value}")
        now = time.monotonic()
        call = self.router.in_flight.get(action.request)
        if call is not None and outcome is Result.ANSWERED:
            self._metrics.timing("runner", now - call.sent_at)
            self._controller.on_latency(action.server, now - call.sent_at, now)
        self._perform(
            routing.on_result(
                self.router, action.request, action.attempt, outcome, self._core.policy, now
            )
        )
        self._answers.pop(action.attempt, None)

    def _send_to_peer(self, action: ToPeer) -> None:
        context = self._contexts[action.request]
        call = self.router.in_flight[action.request]
        now = time.monotonic()
        message = Forward(
            request=RequestId(f"{action.request}/{action.attempt}"),
            service=call.req.service,
            method=context.method,
            path=context.path,
            headers=dict(context.headers),
            body=context.body,
            left_s=max(0.0, call.req.deadline - now - _PEER_MARGIN_S),
            urgency=call.req.urgency,
            repeatable=call.req.repeatable,
        )
        self._metrics.incr("route.forwarded")
        if self._controller.peers.send(action.peer, message):
            return
        self._perform(
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
            case Heartbeat() as heartbeat:
                self._on_heartbeat(heartbeat)
            case _:
                pass

    @handler("peer_lost", channel="*")
    def _on_peer_lost(self, peer: InstanceId) -> None:
        now = time.monotonic()
        self._perform(routing.drop_peer(self.router, peer, self._core.policy, now))

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        free: dict[ServiceName, list[FreeSlots]] = {}
        if not heartbeat.leaving:
            for status in heartbeat.servers:
                instance = self._core.members.listed.get(status.server)
                if instance is not None and instance.service:
                    slots = free.setdefault(instance.service, [])
                    slots.append(FreeSlots(status.free_slots, status.latency_s))
        known_runners.on_peer_slots(
            self.router, heartbeat.sender, heartbeat.zone, free, time.monotonic()
        )

    def _on_forward(self, sender: InstanceId, forward: Forward) -> None:
        if self.closing:
            refused = forwarded_message(forward.request, None, LEAVING)
            self._controller.peers.send(sender, refused)
            return
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
            RequestContext(
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
            result = result_of_error(message.error)
        self._perform(
            routing.on_result(
                self.router, request, attempt, result, self._core.policy, now, refusal
            )
        )
        self._answers.pop(attempt, None)

    def _finish(
        self, request: RequestId, answer: HttpReply | None = None, refusal: Refusal | None = None
    ) -> None:
        context = self._contexts.pop(request, None)
        if context is None:
            return
        if answer is None and refusal is None:
            refusal = Refusal(ErrorKind.INTERNAL, "this instance lost the answer")
        if context.origin is not None:
            self._controller.peers.send(context.origin, forwarded_message(request, answer, refusal))
        if context.reply is None:
            return
        if context.key:
            outcome = ANSWERS[refusal.kind].outcome if refusal else Outcome.RAN
            self._keyed.record(context.key, request, outcome, answer)
        if refusal is not None:
            self._refuse(request, refusal, context.reply)
        elif answer is not None:
            self._metrics.incr("requests.answered")
            headers = {**answer.headers, REQUEST_ID_HEADER: request}
            context.reply(HttpReply(answer.status, headers, answer.body))

    def _refuse(self, request: RequestId, refusal: Refusal, reply: Reply) -> None:
        self._metrics.incr(f"refused.{refusal.kind.value}")
        version = self._controller.config.version
        self.decisions.add(
            Decision(request, refusal.kind.value, refusal.detail, time.time(), version)
        )
        log("request.refused", request=request, error=refusal.kind.value, detail=refusal.detail)
        reply(refusal_reply(refusal, {REQUEST_ID_HEADER: request}))
