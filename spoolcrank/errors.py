"""Define all error kinds and how each one is answered."""

from enum import Enum
from typing import NamedTuple

EXIT_BAD_SETTINGS = 2
"""Exit code of a daemon whose settings are invalid."""


class Outcome(Enum):
    """Whether a request that was answered with an error has run."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ErrorKind(Enum):
    """All kinds of errors that callers and operators can receive."""

    BAD_REQUEST = "bad-request"
    BAD_JSON = "bad-json"
    BAD_FIELD = "bad-field"
    BAD_COMMAND = "bad-command"
    BAD_CONFIG = "bad-config"
    BAD_SETTINGS = "bad-settings"
    TOO_LARGE = "too-large"
    NO_SUCH_PATH = "no-such-path"
    NO_SUCH_SERVICE = "no-such-service"
    NO_SUCH_JOB = "no-such-job"
    NO_SUCH_INSTANCE = "no-such-instance"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    STALE_VERSION = "stale-version"
    OVERLOADED = "overloaded"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    NO_RUNNER = "no-runner"
    RUNNER_LOST = "runner-lost"
    RUNNER_SILENT = "runner-silent"
    FOREIGN_ANSWER = "foreign-answer"
    PEER_LOST = "peer-lost"
    PEER_STATE = "peer-state"
    KEY_IN_PROGRESS = "key-in-progress"
    KEY_OUTCOME_UNKNOWN = "key-outcome-unknown"
    KEY_ANSWER_DROPPED = "key-answer-dropped"
    LOG_UNAVAILABLE = "log-unavailable"
    LOG_ANSWER_UNKNOWN = "log-answer-unknown"
    NOT_READY = "not-ready"
    LEAVING = "leaving"
    CLIENT_LEFT = "client-left"
    INTERNAL = "internal"


class Answer(NamedTuple):
    """The answer to a request that fails with a given error kind.

    Attributes:
        status: HTTP status.
        outcome: whether the request has run, as far as is known.
        retry: whether the caller may send the same request again.
    """

    status: int
    outcome: Outcome
    retry: bool

    @property
    def header(self) -> str:
        """Return the value of the Spoolcrank-Outcome header."""
        return self.outcome.value


_NOT_RUN = Outcome.NOT_RUN

ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, _NOT_RUN, False),
    ErrorKind.BAD_JSON: Answer(400, _NOT_RUN, False),
    ErrorKind.BAD_FIELD: Answer(422, _NOT_RUN, False),
    ErrorKind.BAD_COMMAND: Answer(400, _NOT_RUN, False),
    ErrorKind.BAD_CONFIG: Answer(422, _NOT_RUN, False),
    ErrorKind.BAD_SETTINGS: Answer(400, _NOT_RUN, False),
    ErrorKind.TOO_LARGE: Answer(413, _NOT_RUN, False),
    ErrorKind.NO_SUCH_PATH: Answer(404, _NOT_RUN, False),
    ErrorKind.NO_SUCH_SERVICE: Answer(404, _NOT_RUN, False),
    ErrorKind.NO_SUCH_JOB: Answer(404, _NOT_RUN, False),
    ErrorKind.NO_SUCH_INSTANCE: Answer(404, _NOT_RUN, False),
    ErrorKind.METHOD_NOT_ALLOWED: Answer(405, _NOT_RUN, False),
    ErrorKind.STALE_VERSION: Answer(409, _NOT_RUN, False),
    ErrorKind.OVERLOADED: Answer(503, _NOT_RUN, True),
    ErrorKind.DEADLINE_EXCEEDED: Answer(504, _NOT_RUN, True),
    ErrorKind.NO_RUNNER: Answer(503, _NOT_RUN, True),
    ErrorKind.RUNNER_LOST: Answer(502, Outcome.UNKNOWN, False),
    ErrorKind.RUNNER_SILENT: Answer(504, Outcome.UNKNOWN, False),
    ErrorKind.FOREIGN_ANSWER: Answer(502, Outcome.UNKNOWN, False),
    ErrorKind.PEER_LOST: Answer(502, Outcome.UNKNOWN, False),
    ErrorKind.PEER_STATE: Answer(503, _NOT_RUN, True),
    ErrorKind.KEY_IN_PROGRESS: Answer(409, Outcome.UNKNOWN, True),
    ErrorKind.KEY_OUTCOME_UNKNOWN: Answer(409, Outcome.UNKNOWN, False),
    ErrorKind.KEY_ANSWER_DROPPED: Answer(409, Outcome.RAN, False),
    ErrorKind.LOG_UNAVAILABLE: Answer(503, _NOT_RUN, True),
    ErrorKind.LOG_ANSWER_UNKNOWN: Answer(504, Outcome.UNKNOWN, True),
    ErrorKind.NOT_READY: Answer(503, _NOT_RUN, True),
    ErrorKind.LEAVING: Answer(503, _NOT_RUN, True),
    ErrorKind.CLIENT_LEFT: Answer(408, _NOT_RUN, True),
    ErrorKind.INTERNAL: Answer(500, Outcome.UNKNOWN, False),
}


class Refusal(NamedTuple):
    """An error as it is reported to the caller or operator.

    Attributes:
        kind: the error kind, which determines status and outcome.
        detail: a human-readable explanation.
        field: the name of the invalid field; empty if there is none.
        retry_after_s: time to wait before a retry, in seconds; 0 gives no advice.
    """

    kind: ErrorKind
    detail: str
    field: str = ""
    retry_after_s: float = 0.0


class SpoolcrankError(Exception):
    """Base of every exception raised by this package."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class SettingsError(SpoolcrankError):
    """Raised at start-up if settings are invalid."""


class WireError(SpoolcrankError):
    """Raised if a frame from a peer cannot be decoded."""
