"""Store the addresses of runners with bound work, so that the next leader can ask there.

After a loss of power the entries of runners have lapsed, and the records of jobs contain only ids.
By the address the next leader learns at once whether an incarnation still runs: it answers itself,
or another incarnation answers there, which it can do only after the earlier one ended. Silence, a
refused connection and an entry prove nothing; then the leases count as before.
"""

from collections.abc import Iterable, Mapping
from itertools import islice
from typing import NamedTuple

import msgspec

from spoolcrank.decoding import Unreadable, raises_unreadable
from spoolcrank.ids import Address, AvailabilityZone, ServiceName
from spoolcrank.keyed_log import KeyedLog, KeyedRecord, RecordKind, runner_key
from spoolcrank.pending_writes import BoundRun
from spoolcrank.runner_state import RunnerEntry, RunnerState
from spoolcrank.workflow import Demand, RunnerId

MAX_RECORDS_PER_BATCH = 256
"""Maximum number of addresses in one append; others follow with the next one."""


class RunnerAddress(NamedTuple):
    """Address and service of a runner; neither changes while it runs."""

    address: Address
    service: ServiceName


class _StoredAddress(msgspec.Struct, frozen=True, array_like=True):
    runner: RunnerId
    address: Address
    service: ServiceName


_encode = msgspec.json.Encoder().encode
_decode = raises_unreadable(msgspec.json.Decoder(_StoredAddress).decode)


class RunnerAddresses:
    """The addresses of runners in the scheduler's log, as one leader knows them.

    Attributes:
        stored: the addresses in the log or in an append on its way there.
    """

    def __init__(self) -> None:
        self.stored: dict[RunnerId, RunnerAddress] = {}
        self._unused: set[RunnerId] = set()

    def restore(self, record: KeyedRecord) -> None:
        """Restore one stored address; raise Unreadable if its record cannot be read."""
        value = _decode(record.value)
        if record.key != runner_key(value.runner) or not value.address:
            raise Unreadable("the record is not that of its runner")
        self.stored[value.runner] = RunnerAddress(value.address, value.service)

    def entry_of(self, runner: RunnerId, service: ServiceName) -> RunnerEntry:
        """Return an entry for a runner that only the records name.

        Args:
            runner: the id in the record of a job.
            service: service of that job, which counts if no address is stored.
        """
        known = self.stored.get(runner, RunnerAddress(Address(""), service))
        without_address = not known.address
        return RunnerEntry(
            runner,
            known.address,
            AvailabilityZone(""),
            known.service,
            Demand(),
            frozenset(),
            leaving=without_address,
        )

    def contradicts(self, entry: RunnerEntry) -> bool:
        """Return whether an entry names another address or service than a leader had reached."""
        known = self.stored.get(entry.id)
        return known is not None and known != _address_in(entry)

    def find_unused(self, runners: Mapping[RunnerId, RunnerState]) -> None:
        """Find the addresses to delete, once the complete list of runners has been applied."""
        self._unused = {runner for runner in self.stored if not _is_used(runners.get(runner))}

    def take_records(
        self, runners: Mapping[RunnerId, RunnerState], preassigned: Iterable[BoundRun]
    ) -> list[KeyedRecord]:
        """Return the records to write with the next records of jobs, and count them as stored."""
        bound_to = {bound.runner for bound in preassigned}
        new = [
            runner
            for runner in runners.values()
            if (runner.runs or runner.id in bound_to) and self._is_new(runner)
        ]
        records = [self._store(runner) for runner in islice(new, MAX_RECORDS_PER_BATCH)]
        unused = [runner for runner in self._unused if not _is_used(runners.get(runner))]
        self._unused = set()
        for runner_id in unused:
            del self.stored[runner_id]
        return records + [KeyedRecord(runner_key(runner_id), b"") for runner_id in unused]

    def _is_new(self, runner: RunnerState) -> bool:
        """Return whether a runner has answered at an address that is not stored."""
        entry = runner.entry
        return runner.adopted and self.stored.get(entry.id) != _address_in(entry)

    def _store(self, runner: RunnerState) -> KeyedRecord:
        entry = runner.entry
        self.stored[entry.id] = _address_in(entry)
        value = _StoredAddress(entry.id, entry.address, entry.service)
        return KeyedRecord(runner_key(entry.id), _encode(value))


def _address_in(entry: RunnerEntry) -> RunnerAddress:
    return RunnerAddress(entry.address, entry.service)


def _is_used(runner: RunnerState | None) -> bool:
    return runner is not None and (bool(runner.runs) or (runner.listed and not runner.gone))


def address_records(copy: KeyedLog) -> list[KeyedRecord]:
    """Return the records of addresses in a copy of the scheduler's log."""
    prefix = RecordKind.RUNNER.value
    return [
        record for key, record in copy.newest.items() if key.startswith(prefix) and record.value
    ]
