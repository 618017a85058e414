"""Classify and convert the results of requests that were sent to a runner or to a peer."""

from spoolcrank._http import CallFailure, HttpResult
from spoolcrank._web import HttpReply
from spoolcrank._wire import Forwarded
from spoolcrank.caller_request import HOP_HEADERS
from spoolcrank.errors import ANSWERS, ErrorKind, Outcome, Refusal
from spoolcrank.ids import InstanceId, RequestId
from spoolcrank.route_state import Result


def public_id(request: RequestId) -> str:
    """Return the id that the caller knows, without the attempt that a forwarded request adds."""
    return request.partition("/")[0]


def classify_result(request: RequestId, result: HttpResult) -> Result:
    """Return the result of a request from a runner's answer, or from the failure of the call."""
    match result.failed:
        case CallFailure.NOT_SENT:
            return Result.NOT_SENT
        case CallFailure.CUT:
            return Result.CUT
        case CallFailure.TIMED_OUT:
            return Result.SILENT
        case CallFailure.GARBLED:
            return Result.FOREIGN
        case None:
            pass
    answered_id = result.headers.get("spoolcrank-request-id", public_id(request))
    if answered_id != public_id(request):
        return Result.FOREIGN
    return Result.SERVICE_ERROR if result.status >= 500 else Result.ANSWERED


def result_of_error(kind: ErrorKind) -> Result:
    """Return the result of a forwarded request that a peer refused with an error."""
    outcome = ANSWERS[kind].outcome
    if outcome is Outcome.NOT_RUN:
        return Result.REFUSED
    return Result.SILENT if kind is ErrorKind.RUNNER_SILENT else Result.CUT


def reply_of(result: HttpResult) -> HttpReply:
    """Return a runner's answer as it is passed on to the caller."""
    headers = {
        name: value
        for name, value in result.headers.items()
        if name not in HOP_HEADERS and name != "date"
    }
    if "content-type" in headers:
        headers["Content-Type"] = headers.pop("content-type")
    return HttpReply(result.status, headers, result.body)


def forwarded_message(
    request: RequestId, answer: HttpReply | None, refusal: Refusal | None
) -> Forwarded:
    """Return the message that passes an answer or a refusal to the peer that forwarded."""
    return Forwarded(
        request=request,
        error=refusal.kind if refusal else None,
        detail=refusal.detail if refusal else "",
        status=answer.status if answer else 0,
        headers=dict(answer.headers) if answer else {},
        body=answer.body if answer else b"",
        server=InstanceId(""),
        retry_after_s=refusal.retry_after_s if refusal else 0.0,
    )
