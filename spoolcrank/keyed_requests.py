"""Run requests with an idempotency key once: the first is run, repeats get its outcome."""

import time
from collections.abc import Callable
from typing import NamedTuple

from spoolcrank._web import HttpReply, Reply
from spoolcrank.caller_request import HeldRequest
from spoolcrank.controller import Controller
from spoolcrank.errors import ErrorKind, Outcome, Refusal
from spoolcrank.ids import RequestId, ServiceName
from spoolcrank.ledger import Key, key_error
from spoolcrank.membership import is_incarnation_alive
from spoolcrank.metrics import Metrics
from spoolcrank.records import KeyDone, KeyTaken
from spoolcrank.route_state import Request

MAX_KEPT_BODY = 16 << 10
"""Of an answer kept for repeats, bytes; longer ones are told as run, without their body."""

REQUEST_ID = "Spoolcrank-Request-Id"

Submit = Callable[[Request, HeldRequest], None]
Refuse = Callable[[RequestId, Refusal, Reply], None]


class _Waiter(NamedTuple):
    """A repeated request that waits for the first one's outcome."""

    key: str
    deadline: float
    request: RequestId
    reply: Reply


class KeyedRequests:
    """The requests of one instance that have a key.

    Args:
        controller: whose log keeps the keys.
        metrics: counts repeats.
        held: the requests of this instance that are under way, shared with their owner.
        submit: runs a request.
        refuse: answers one with a refusal.
        flies: tells whether a request was given to the router.
    """

    def __init__(
        self,
        controller: Controller,
        metrics: Metrics,
        held: dict[RequestId, HeldRequest],
        submit: Submit,
        refuse: Refuse,
        flies: Callable[[RequestId], bool],
    ) -> None:
        self._controller = controller
        self._core = controller.core
        self._metrics = metrics
        self._held = held
        self._submit = submit
        self._refuse = refuse
        self._flies = flies
        self._waiters: list[_Waiter] = []

    @property
    def waiting(self) -> int:
        """Return how many repeats wait for the first one's outcome."""
        return len(self._waiters)

    def serve(self, request: Request, held: HeldRequest, reply: Reply) -> None:
        """Run a request once its key is kept, or answer it from the first one with the key."""
        known = self._core.ledger.keys.get(held.key)
        if known is not None and not _is_free(known):
            self._repeat(known, request, held.key, reply)
            return
        now = time.monotonic()
        if not self._core.situation(now).log_ok:
            detail = "the log is down, and a key can only be kept on it"
            self._refuse(request.id, Refusal(ErrorKind.LOG_UNAVAILABLE, detail, "", 1.0), reply)
            return
        members = self._core.members
        record = KeyTaken(
            key=held.key, request=request.id, holder=members.me, incarnation=members.incarnation
        )

        def on_applied() -> None:
            self._on_key_applied(request, held, reply)

        seq = self._controller.log_link.append(record, on_applied)
        if seq is None:
            detail = "too much waits for the log"
            self._refuse(request.id, Refusal(ErrorKind.LOG_UNAVAILABLE, detail, "", 1.0), reply)
            return
        self._held[request.id] = held

    def _on_key_applied(self, request: Request, held: HeldRequest, reply: Reply) -> None:
        known = self._core.ledger.keys.get(held.key)
        mine = known is not None and known.request == request.id
        if request.id not in self._held:
            if mine:
                self.record(held.key, request.id, Outcome.NOT_RUN, None)
            return
        del self._held[request.id]
        if mine:
            self._submit(request, held)
        elif known is not None:
            self._repeat(known, request, held.key, reply)
        else:
            detail = "the key's record could not be kept"
            self._refuse(request.id, Refusal(ErrorKind.LOG_UNAVAILABLE, detail), reply)

    def _repeat(self, known: Key, request: Request, key: str, reply: Reply) -> None:
        """Answer a repeated key from the first request's outcome."""
        now = time.monotonic()
        kind = self._key_error(known)
        if kind is ErrorKind.KEY_IN_PROGRESS and now < request.deadline:
            self._waiters.append(_Waiter(key, request.deadline, request.id, reply))
            return
        self._metrics.incr("requests.key-repeated")
        done = known.done
        if kind is not None or done is None:
            kind = kind or ErrorKind.KEY_OUTCOME_UNKNOWN
            detail = f"the first request with this key was {known.request}"
            self._refuse(request.id, Refusal(kind, detail), reply)
        else:
            headers = {REQUEST_ID: known.request, "Content-Type": done.content_type}
            reply(HttpReply(done.status, headers, (done.body or "").encode()))

    def _key_error(self, known: Key) -> ErrorKind | None:
        alive = is_incarnation_alive(
            self._core.members,
            known.holder,
            known.incarnation,
            self._core.policy,
            time.monotonic(),
        )
        return key_error(known, alive)

    def record(
        self, key: str, request: RequestId, outcome: Outcome, answer: HttpReply | None
    ) -> None:
        """Keep how the request with a key ended, and a short answer."""
        body = None
        if answer is not None and len(answer.body) <= MAX_KEPT_BODY:
            body = _text(answer.body)
        record = KeyDone(
            key=key,
            request=request,
            outcome=outcome,
            status=answer.status if answer else 0,
            content_type=answer.headers.get("Content-Type", "") if answer else "",
            body=body,
        )
        self._controller.log_link.append(record)

    def _finish_waiter(self, waiter: _Waiter, known: Key | None) -> None:
        if known is None or _is_free(known):
            detail = "the first request with this key was not run; send it again"
            self._refuse(
                waiter.request, Refusal(ErrorKind.OVERLOADED, detail, "", 0.1), waiter.reply
            )
            return
        ended = Request(waiter.request, ServiceName(""), 0, False, 0.0, 0.0)
        self._repeat(known, ended, waiter.key, waiter.reply)

    def _expire(self, now: float) -> None:
        """Refuse keyed requests whose record does not come back in time; they never run."""
        for request, held in list(self._held.items()):
            if not held.key or self._flies(request) or held.reply is None:
                continue
            if now > held.deadline:
                del self._held[request]
                detail = "the key's record did not reach the log in time"
                self._refuse(
                    request, Refusal(ErrorKind.LOG_UNAVAILABLE, detail, "", 1.0), held.reply
                )

    def tick(self, now: float) -> None:
        """Answer repeats whose first one has ended, and what waited for its key too long."""
        for waiter in list(self._waiters):
            known = self._core.ledger.keys.get(waiter.key)
            waits = known is not None and self._key_error(known) is ErrorKind.KEY_IN_PROGRESS
            if not waits or now >= waiter.deadline:
                self._waiters.remove(waiter)
                self._finish_waiter(waiter, known)
        self._expire(now)


def _text(body: bytes) -> str | None:
    try:
        return body.decode()
    except UnicodeDecodeError:
        return None


def _is_free(key: Key) -> bool:
    return key.done is not None and key.done.outcome is Outcome.NOT_RUN
