"""The choice of the peer that an instance queries for its ledger without the log."""

from spoolcrank.ids import AvailabilityZone, ConfigVersion, Incarnation, InstanceId
from spoolcrank.membership import Heartbeat
from spoolcrank.state_source import StateSource


def _heartbeat(name: str, offset: int) -> Heartbeat:
    return Heartbeat(
        sender=InstanceId(name),
        incarnation=Incarnation(name),
        zone=AvailabilityZone("a"),
        seq=1,
        sent_at=1.0,
        leaving=False,
        ready=True,
        config_version=ConfigVersion(0),
        ledger_offset=offset,
        log_ok=True,
        servers=(),
        echoes=(),
    )


FIRST, SECOND, THIRD = _heartbeat("one", 30), _heartbeat("two", 20), _heartbeat("three", 10)


def test_a_peer_that_does_not_answer_does_not_block_queries_to_others() -> None:
    """The peer furthest ahead was queried again every 3 s, even though it never answered."""
    source = StateSource()
    asked = []
    for _ in range(4):
        heartbeat = source.pick([THIRD, FIRST, SECOND])
        assert heartbeat is not None
        asked.append(heartbeat)
        source.record_answer(heartbeat.sender, False)
    assert asked == [FIRST, SECOND, THIRD, FIRST]


def test_a_peer_that_answers_again_is_asked_again() -> None:
    source = StateSource()
    source.record_answer(FIRST.sender, False)
    assert source.pick([FIRST, SECOND]) == SECOND
    source.record_answer(FIRST.sender, True)
    assert source.pick([FIRST, SECOND]) == FIRST
    assert source.pick([]) is None
