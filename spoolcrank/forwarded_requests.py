"""Answer the requests that peers forward, like those of the instance's own clients."""

from collections.abc import Callable

from spoolcrank._web import HttpReply, HttpRequest, Reply, refusal_reply
from spoolcrank.errors import ErrorKind, Refusal, WireError
from spoolcrank.forward_messages import (
    ANY_INSTANCE,
    FORWARD_PATH,
    MESSAGE_TYPE,
    decode_request,
    encode_answer,
)
from spoolcrank.forwarding import FORWARD_TIMEOUT_S
from spoolcrank.ids import InstanceId
from spoolcrank.prometheus_metrics import PrometheusMetrics

AnswerForwarded = Callable[[HttpRequest, Reply, float], None]
"""Answers a forwarded request; the last argument is when it arrived at the instance of its client,
monotonic seconds, so that its time limits end in time for that client."""

_HEADERS = {"Content-Type": MESSAGE_TYPE}


class ForwardedRequests:
    """The requests that peers forward to one instance."""

    def __init__(
        self,
        answer: AnswerForwarded,
        metrics: PrometheusMetrics,
        clock: Callable[[], float],
        own: InstanceId = ANY_INSTANCE,
    ) -> None:
        self._answer = answer
        self._own = own
        self._metrics = metrics
        self._clock = clock

    def answer(self, req: HttpRequest, reply: Reply) -> None:
        """Answer one call of a peer."""
        if req.method != "POST" or req.path != FORWARD_PATH:
            reply(refusal_reply(Refusal(ErrorKind.NO_SUCH_PATH, f"only POST {FORWARD_PATH}")))
            return
        try:
            forwarded = decode_request(req.body)
        except WireError as exc:
            reply(refusal_reply(exc.refusal))
            return
        if forwarded.to not in (ANY_INSTANCE, self._own):
            # The address may have been taken over since by an instance of another deployment.
            refusal = Refusal(ErrorKind.NOT_READY, f"this instance is not {forwarded.to}")
            reply(HttpReply(200, _HEADERS, encode_answer(refusal_reply(refusal))))
            return
        # A peer that gave the call up closed its connection: its client may have left.
        inner = HttpRequest(
            forwarded.method,
            forwarded.path,
            {},
            {"host": forwarded.host},
            forwarded.body,
            req.peer,
            client_left=req.client_left,
        )
        received_at = self._clock() - max(0.0, FORWARD_TIMEOUT_S - forwarded.left_s)

        def on_answer(answer: HttpReply) -> None:
            self._metrics.count_labelled("forwarded_received", status=str(answer.status))
            reply(HttpReply(200, _HEADERS, encode_answer(answer)))

        self._answer(inner, on_answer, received_at)
