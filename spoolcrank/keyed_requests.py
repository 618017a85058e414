"""Run requests with an idempotency key once: repeats get the outcome of the first request."""

import time
from collections.abc import Callable
from typing import NamedTuple

from spoolcrank._web import HttpReply, Reply
from spoolcrank.caller_request import RequestContext
from spoolcrank.controller import Controller
from spoolcrank.errors import ErrorKind, Outcome, Refusal
from spoolcrank.ids import RequestId, ServiceName
from spoolcrank.ledger import Key, key_error
from spoolcrank.membership import is_incarnation_alive
from spoolcrank.metrics import Metrics
from spoolcrank.records import KeyDone, KeyTaken
from spoolcrank.route_state import Request
from spoolcrank.routing_stop import LEAVING

MAX_STORED_BODY_BYTES = 16 << 10
"""Maximum body size of an answer stored for repeats, in bytes.

A longer answer is stored without its body, only as run.
"""

REQUEST_ID_HEADER = "Spoolcrank-Request-Id"

Submit = Callable[[Request, RequestContext], None]
Refuse = Callable[[RequestId, Refusal, Reply], None]


class _Waiter(NamedTuple):
    """A repeated request that waits for the outcome of the first one."""

    key: str
    deadline: float
    request: RequestId
    reply: Reply


class KeyedRequests:
    """The requests of one instance that have an idempotency key.

    Args:
        controller: provides the log that stores the keys.
        metrics: counts repeats.
        contexts: the requests of this instance that have no answer yet, shared with `Callers`.
        submit: passes a request to the router.
        refuse: answers a request with a refusal.
        is_routed: returns whether the router has a request.
    """

    def __init__(
        self,
        controller: Controller,
        metrics: Metrics,
        contexts: dict[RequestId, RequestContext],
        submit: Submit,
        refuse: Refuse,
        is_routed: Callable[[RequestId], bool],
    ) -> None:
        self._controller = controller
        self._core = controller.core
        self._metrics = metrics
        self._contexts = contexts
        self._submit = submit
        self._refuse = refuse
        self._is_routed = is_routed
        self._waiters: list[_Waiter] = []

    @property
    def waiting(self) -> int:
        """Return how many repeats wait for the outcome of their first request."""
        return len(self._waiters)

    def serve(self, request: Request, context: RequestContext, reply: Reply) -> None:
        """Run a request once its key is stored, or answer it from the key's first request."""
        stored_key = self._core.ledger.keys.get(context.key)
        if stored_key is not None and not _may_run_again(stored_key):
            self._repeat(stored_key, request, context.key, reply)
            return
        now = time.monotonic()
        if not self._core.log_status(now).log_ok:
            detail = "the log is down, so the idempotency key cannot be stored"
            self._refuse(request.id, Refusal(ErrorKind.LOG_UNAVAILABLE, detail, "", 1.0), reply)
            return
        members = self._core.members
        record = KeyTaken(
            key=context.key, request=request.id, holder=members.me, incarnation=members.incarnation
        )

        def on_applied() -> None:
            self._on_key_applied(request, context, reply)

        seq = self._controller.log_link.append(record, on_applied)
        if seq is None:
            detail = "too many records wait for the log"
            self._refuse(request.id, Refusal(ErrorKind.LOG_UNAVAILABLE, detail, "", 1.0), reply)
            return
        self._contexts[request.id] = context

    def _on_key_applied(self, request: Request, context: RequestContext, reply: Reply) -> None:
        stored_key = self._core.ledger.keys.get(context.key)
        is_ours = stored_key is not None and stored_key.request == request.id
        if request.id not in self._contexts:
            if is_ours:
                self.record(context.key, request.id, Outcome.NOT_RUN, None)
            return
        del self._contexts[request.id]
        if is_ours:
            self._submit(request, context)
        elif stored_key is not None:
            self._repeat(stored_key, request, context.key, reply)
        else:
            detail = "the key's record could not be stored"
            self._refuse(request.id, Refusal(ErrorKind.LOG_UNAVAILABLE, detail), reply)

    def _repeat(self, stored_key: Key, request: Request, key: str, reply: Reply) -> None:
        """Answer a repeated request with the outcome of the first one, or let it wait for that."""
        now = time.monotonic()
        kind = self._key_error(stored_key)
        if kind is ErrorKind.KEY_IN_PROGRESS and now < request.deadline:
            self._waiters.append(_Waiter(key, request.deadline, request.id, reply))
            return
        self._metrics.incr("requests.key-repeated")
        done = stored_key.done
        if kind is not None or done is None:
            kind = kind or ErrorKind.KEY_OUTCOME_UNKNOWN
            detail = f"the first request with this key was {stored_key.request}"
            self._refuse(request.id, Refusal(kind, detail), reply)
        else:
            headers = {REQUEST_ID_HEADER: stored_key.request, "Content-Type": done.content_type}
            reply(HttpReply(done.status, headers, (done.body or "").encode()))

    def _key_error(self, stored_key: Key) -> ErrorKind | None:
        alive = is_incarnation_alive(
            self._core.members,
            stored_key.holder,
            stored_key.incarnation,
            self._core.policy,
            time.monotonic(),
        )
        return key_error(stored_key, alive)

    def record(
        self, key: str, request: RequestId, outcome: Outcome, answer: HttpReply | None
    ) -> None:
        """Log how the request with a key ended, with its answer if the body is short UTF-8 text."""
        body = None
        if answer is not None and len(answer.body) <= MAX_STORED_BODY_BYTES:
            body = _decode_text(answer.body)
        record = KeyDone(
            key=key,
            request=request,
            outcome=outcome,
            status=answer.status if answer else 0,
            content_type=answer.headers.get("Content-Type", "") if answer else "",
            body=body,
        )
        self._controller.log_link.append(record)

    def _finish_waiter(self, waiter: _Waiter, stored_key: Key | None) -> None:
        if stored_key is None or _may_run_again(stored_key):
            detail = "the first request with this key was not run; send it again"
            self._refuse(
                waiter.request, Refusal(ErrorKind.OVERLOADED, detail, "", 0.1), waiter.reply
            )
            return
        repeat = Request(waiter.request, ServiceName(""), 0, False, 0.0, 0.0)
        self._repeat(stored_key, repeat, waiter.key, waiter.reply)

    def _expire(self, now: float) -> None:
        """Refuse keyed requests whose record is not applied by their deadline; they never run."""
        for request, context in list(self._contexts.items()):
            if not context.key or self._is_routed(request) or context.reply is None:
                continue
            if now > context.deadline:
                del self._contexts[request]
                detail = "the key's record did not reach the log in time"
                self._refuse(
                    request, Refusal(ErrorKind.LOG_UNAVAILABLE, detail, "", 1.0), context.reply
                )

    def give_up(self) -> None:
        """Refuse the requests that wait for their key to be stored, and the repeats that wait."""
        for request, context in list(self._contexts.items()):
            if context.key and context.reply is not None and not self._is_routed(request):
                del self._contexts[request]
                self._refuse(request, LEAVING, context.reply)
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            detail = "the first request with this key has not ended"
            refusal = Refusal(ErrorKind.KEY_IN_PROGRESS, detail)
            self._refuse(waiter.request, refusal, waiter.reply)

    def tick(self, now: float) -> None:
        """Answer repeats whose first request has ended, and refuse requests past their deadline."""
        for waiter in list(self._waiters):
            stored_key = self._core.ledger.keys.get(waiter.key)
            in_progress = (
                stored_key is not None and self._key_error(stored_key) is ErrorKind.KEY_IN_PROGRESS
            )
            if not in_progress or now >= waiter.deadline:
                self._waiters.remove(waiter)
                self._finish_waiter(waiter, stored_key)
        self._expire(now)


def _decode_text(body: bytes) -> str | None:
    try:
        return body.decode()
    except UnicodeDecodeError:
        return None


def _may_run_again(key: Key) -> bool:
    return key.done is not None and key.done.outcome is Outcome.NOT_RUN
