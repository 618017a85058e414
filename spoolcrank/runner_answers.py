"""Classify the result of a request that was sent to a runner or to a peer."""

from spoolcrank._http import CallFailure, HttpResult
from spoolcrank.errors import ANSWERS, ErrorKind, Outcome
from spoolcrank.ids import RequestId
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
