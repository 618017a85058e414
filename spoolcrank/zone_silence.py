"""Detect early that a zone accepts no starts, from starts that are not answered there.

A poll at a busy runner waits until a run ends, so that unanswered starts reveal a partition first.
Where a link between regions is saturated, polls get through on the connections that they keep open,
and starts do not. A single silent runner does not make its zone silent, because its neighbours
answer.
"""

from dataclasses import dataclass, field

from spoolcrank.ids import AvailabilityZone

ZONE_PAUSE_S = 2.0
"""Time after an unanswered start for which its zone gets no further start, in seconds; by then a
poll has reported each runner in a partitioned zone."""


@dataclass
class ZoneSilence:
    """Send times of the latest answered and unanswered starts per zone, in monotonic seconds."""

    _answered: dict[AvailabilityZone, float] = field(default_factory=dict)
    _missed: dict[AvailabilityZone, float] = field(default_factory=dict)
    _last_answered_at: float = -1.0

    def answered(self, zone: AvailabilityZone, sent_at: float) -> None:
        """Record an answer to a start that was sent at `sent_at`."""
        self._answered[zone] = max(sent_at, self._answered.get(zone, sent_at))
        self.record_contact(sent_at)

    def record_contact(self, sent_at: float) -> None:
        """Record an answer to any call that was sent at `sent_at`."""
        self._last_answered_at = max(sent_at, self._last_answered_at)

    def record_no_answer(self, zone: AvailabilityZone, sent_at: float) -> None:
        """Record a start that has not been answered so far."""
        known = self._missed.get(zone)
        if (
            known is None
            or not self._unanswered_since(zone, known)
            or sent_at - known > ZONE_PAUSE_S
        ):
            self._missed[zone] = sent_at

    def _unanswered_since(self, zone: AvailabilityZone, sent_at: float) -> bool:
        """Return whether no start that was sent there at `sent_at` or later was answered."""
        return self._answered.get(zone, -1.0) < sent_at

    def silent(self, now: float) -> frozenset[AvailabilityZone]:
        """Return the zones that answered no recent start, although another call was answered."""
        return frozenset(
            zone
            for zone, sent_at in self._missed.items()
            if self._unanswered_since(zone, sent_at)
            and self._last_answered_at >= sent_at
            and now - sent_at <= ZONE_PAUSE_S
        )
