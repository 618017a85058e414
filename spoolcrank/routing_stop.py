"""State how a stopping instance refuses requests."""

from spoolcrank.errors import ErrorKind, Refusal

LEAVING = Refusal(ErrorKind.LEAVING, "this instance is leaving", retry_after_s=0.1)
