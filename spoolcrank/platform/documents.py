"""Decode what the platform and the clients write: configuration, runners' entries, jobs."""

from ipaddress import IPv4Address
from typing import Annotated, Literal

import msgspec

from spoolcrank.errors import ErrorKind, Refusal, SpoolcrankError
from spoolcrank.ids import Address, AvailabilityZone, ServiceName
from spoolcrank.keyed_log import KeyedLog
from spoolcrank.reading import Unreadable, reader
from spoolcrank.routes import Route, RouteTable
from spoolcrank.runner_ids import START_MARK, RunnerName, runner_id
from spoolcrank.runner_state import RunnerEntry
from spoolcrank.workflow import Demand, RouteName, Step, Workflow

MAX_ENTRY_BYTES = 16_384
"""A runner's entry is some 400 bytes; a longer one than this is not read, bytes."""

MAX_PORT = 65_535

MAX_AMOUNT = 1_000_000_000
"""No runner holds so much: a million cores, in thousandths, or a petabyte, in MB."""

_Name = Annotated[str, msgspec.Meta(min_length=1)]
_Born = Annotated[int, msgspec.Meta(ge=0)]
_Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]


class _Route(msgspec.Struct):
    name: _Name
    host: str
    prefix: str = msgspec.field(name="pathPrefix")
    service: _Name
    # For a queue this is the fixed part of the time to finish, not of the answer.
    objective_ms: int = msgspec.field(name="sloMs", default=0)
    priority: int = 0
    # Failed runs of a task, not the client's attempts.
    max_attempts: int = msgspec.field(name="maxAttempts", default=1)
    stretch: float = 1.0


class _Service(msgspec.Struct):
    name: str
    spare: bool = False


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []


class _Capacity(msgspec.Struct):
    cpu: _Amount = 0
    mem_mb: _Amount = msgspec.field(name="memMb", default=0)
    gpu: _Amount = 0


class _Server(msgspec.Struct):
    service: _Name
    address: str
    state: Literal["ready", "draining"]
    zone: str = ""
    born: _Born | None = None
    capacity: _Capacity = msgspec.field(default_factory=_Capacity)
    labels: list[str] = []


class _Step(msgspec.Struct):
    count: int = 1
    cpu: int = 0
    mem_mb: int = msgspec.field(name="memMb", default=0)
    gpu: int = 0
    estimate_ms: float = msgspec.field(name="estimateMs", default=0)
    # Numbers of earlier steps, though the name speaks of a revision.
    after: tuple[int, ...] = msgspec.field(name="afterRev", default=())
    checkpoints: bool = msgspec.field(name="savesProgress", default=False)
    gang: bool = False
    same_rack: bool = msgspec.field(name="sameRack", default=False)
    label: str = msgspec.field(name="requires", default="")
    data_rack: str = msgspec.field(name="affinity", default="")
    # At most so many tasks of the step on one runner, though the name speaks of none.
    max_per_instance: int = msgspec.field(name="antiAffinity", default=0)
    copies: bool = msgspec.field(name="speculative", default=False)
    lasting: bool = msgspec.field(name="longRunning", default=False)
    image: str = ""
    target_ms: float = 0
    fills: bool = False
    may_be_away: int = msgspec.field(name="may_miss", default=-1)


class _Job(msgspec.Struct):
    payload: str = msgspec.field(name="spec", default="")
    steps: tuple[_Step, ...] = ()
    rounds: int = msgspec.field(name="repeatCount", default=0)
    first_at_ms: float = msgspec.field(name="startMs", default=0)
    interval_ms: float = msgspec.field(name="intervalMs", default=0)


_EMPTY_ZONE = "evacuate/"
_decode_configuration = msgspec.json.Decoder(_Configuration).decode
_decode_server = msgspec.json.Decoder(_Server).decode
_decode_job = msgspec.json.Decoder(_Job).decode


@reader
def configuration_of(value: bytes) -> RouteTable:
    """Read the operator's configuration, whole; raises Unreadable."""
    raw = _decode_configuration(value)
    if len({one.name for one in raw.routes}) < len(raw.routes):
        raise ValueError("routes: a name stands twice")
    routes = tuple(
        Route(
            RouteName(one.name),
            one.host,
            one.prefix,
            ServiceName(one.service),
            one.priority,
            one.max_attempts,
            one.objective_ms,
            one.stretch,
        )
        for one in raw.routes
    )
    return RouteTable(raw.version, routes)


def emptied_zones(copy: KeyedLog) -> frozenset[AvailabilityZone]:
    """Return the zones that the operator wants nothing more to start in, by the newest records."""
    return frozenset(
        AvailabilityZone(key.removeprefix(_EMPTY_ZONE))
        for key, record in copy.newest.items()
        if key.startswith(_EMPTY_ZONE) and record.value
    )


def runner_of(runner: str, value: bytes) -> RunnerEntry:
    """Read the entry that a runner keeps of itself; raises Unreadable for any other's."""
    if START_MARK in runner:
        raise Unreadable(f"{runner!r} is no name of a runner")
    raw = _server_of(value)
    return RunnerEntry(
        runner_id(RunnerName(runner), raw.born),
        Address(raw.address),
        AvailabilityZone(raw.zone),
        ServiceName(raw.service),
        Demand(raw.capacity.cpu, raw.capacity.mem_mb, raw.capacity.gpu),
        frozenset(raw.labels),
        leaving=raw.state != "ready",
    )


@reader
def _server_of(value: bytes) -> _Server:
    if len(value) > MAX_ENTRY_BYTES:
        raise ValueError(f"{len(value)} bytes are too many")
    raw = _decode_server(value)
    _check_address(raw.address)
    return raw


def _check_address(address: str) -> None:
    """Raise ValueError unless an address is `IP:PORT`: a name would be looked up, and wait."""
    host, _, port = address.rpartition(":")
    IPv4Address(host)
    if not (port.isascii() and port.isdecimal() and 0 < int(port) <= MAX_PORT):
        raise ValueError(f"{address!r} is no address")


def workflow_of(body: bytes) -> Workflow:
    """Read a client's job; raises SpoolcrankError naming what is wrong."""
    try:
        raw = _decode_job(body)
    except msgspec.ValidationError as exc:
        raise SpoolcrankError(Refusal(ErrorKind.BAD_FIELD, str(exc))) from exc
    except (msgspec.DecodeError, RecursionError) as exc:
        raise SpoolcrankError(Refusal(ErrorKind.BAD_JSON, str(exc))) from exc
    flow = Workflow(
        raw.payload,
        tuple(_step(one) for one in raw.steps),
        raw.rounds,
        int(raw.first_at_ms),
        int(raw.interval_ms),
    )
    problem = flow.problem()
    if problem:
        raise SpoolcrankError(Refusal(ErrorKind.BAD_FIELD, problem))
    return flow


def _step(raw: _Step) -> Step:
    return Step(
        count=raw.count,
        millicores=raw.cpu,
        memory_mb=raw.mem_mb,
        accelerators=raw.gpu,
        estimate_ms=int(raw.estimate_ms),
        after=raw.after,
        checkpoints=raw.checkpoints,
        gang=raw.gang,
        same_rack=raw.same_rack,
        label=raw.label,
        data_rack=raw.data_rack,
        max_per_instance=raw.max_per_instance,
        copies=raw.copies,
        lasting=raw.lasting,
        image=raw.image,
        target_ms=raw.target_ms,
        fills=raw.fills,
        may_be_away=raw.may_be_away,
    )
