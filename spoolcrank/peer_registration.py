"""Store where an instance takes requests from its peers, and delete that at a planned stop."""

import msgspec

from spoolcrank._timers import Timers
from spoolcrank.keyed_log import KeyedRecord, peer_key
from spoolcrank.peer_directory import PeerRecord
from spoolcrank.store_port import Append, Appended, AppendOutcome, LogPort

RETRY_DELAY_S = 1.0
"""Delay before a record that was not stored is sent again, seconds."""


class PeerRegistration:
    """The record of one instance on the log, which only this instance writes."""

    def __init__(self, log: LogPort, own: PeerRecord, timers: Timers) -> None:
        self._log = log
        self._key = peer_key(own.instance)
        self._value = msgspec.json.encode(own)
        self._timers = timers
        self._in_flight = False
        self._stored_offset = -1
        self._ending = False
        self._deleted = False
        self._last_read: KeyedRecord | None = None

    def begin(self) -> None:
        """Store the record; it is sent again until the store has it."""
        self._send()

    def on_record(self, record: KeyedRecord) -> None:
        """Store the record again if a later one replaced it.

        A deletion that an earlier process of this instance sent may take effect late.
        """
        if record.key != self._key:
            return
        self._last_read = record
        if self._in_flight or self._ending or self._stored_offset < 0:
            return
        if record.offset > self._stored_offset and record.value != self._value:
            self._send()

    def end(self) -> None:
        """Delete the record."""
        self._ending = True
        if not self._in_flight:
            self._send()

    def _send(self) -> None:
        value = b"" if self._ending else self._value
        self._in_flight = True

        def on_appended(appended: Appended) -> None:
            self._in_flight = False
            if appended.outcome is not AppendOutcome.STORED:
                self._timers.after(RETRY_DELAY_S, self._retry)
                return
            self._stored_offset = appended.offset
            self._deleted = not value
            if self._ending and value:
                self._send()
            elif self._last_read is not None:
                # It may have been read while this append was in flight.
                self.on_record(self._last_read)

        self._log.append(Append([KeyedRecord(self._key, value)]), on_appended)

    def _retry(self) -> None:
        if not (self._in_flight or self._deleted):
            self._send()
