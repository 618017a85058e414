"""Define the state of one entry instance's decisions and the actions that they return."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from spoolcrank import interference, membership, ownership, placement, servers
from spoolcrank.fleet import Instance
from spoolcrank.ids import (
    NO_CONFIG,
    ConfigVersion,
    Epoch,
    InstanceId,
    ServiceName,
    TaskId,
)
from spoolcrank.ledger import Ledger
from spoolcrank.membership import Members, ServerStatus
from spoolcrank.owned_server import Action, LogStatus, OwnedServer, Phase
from spoolcrank.placement import Obstacle
from spoolcrank.policy import DEFAULT, Policy
from spoolcrank.resources import NO_RESOURCES, Resources
from spoolcrank.slot_use import reserved_slots

# Age of the last read to the log's end above which the log counts as unavailable.
_LOG_TIMEOUT_S = 4.0

MAX_LEDGER_AGE_S = 2.5
"""Maximum age of the ledger for showing it as the present, seconds.

A read waits 0.5 s for a record, so the ledger is up to 1 s old, and 2 s if the log takes 0.5 s for
an answer.
"""

MAX_CONFIG_AGE_S = 2.5
"""Maximum age of the configuration for a final refusal by it, seconds; its stream is read in the
same way as the ledger's."""


class Handover(NamedTuple):
    """An action: notify a peer that it owns a server from now on.

    `busy` is the number of our requests that the server's runner is still serving.
    """

    to: InstanceId
    server: InstanceId
    epoch: Epoch
    busy: int


class LogEvent(NamedTuple):
    """An action: count and log an event."""

    name: str
    fields: dict[str, str]


class Relinquished(NamedTuple):
    """A server that we stopped commanding: the epoch that supersedes ours, and when we stopped."""

    epoch: Epoch
    at: float


CoreAction = Action | Handover | LogEvent


@dataclass
class Core:
    """The state of one entry instance's decisions; times are monotonic, in seconds.

    Attributes:
        owned: The servers that we command.
        relinquished: The servers that we stopped commanding and have not owned again since.
        log_ok_at: When the last request was sent that read the log to its end.
        config_read_at: When the last request was sent that read the stream of configurations to its
            end.
        acting: Whether we may command our servers, as found at the last tick.
        first_seen: When we first saw each waiting task.
        claims_sent: When we last appended a claim of each server.
        refusals_sent: When we appended the refusal of each job.
        obstacles: Why each waiting task could not be placed when it was last considered.
        passed_over: Tasks that earlier passes could not place; cleared once a pass reaches the end
            of the queue.
        owned_elsewhere_at: When a peer last reported each server as its own.
        service_rate: Returns the requests per second to a service.
        busy_slots: Returns the number of requests that a server's runner is serving.
    """

    members: Members
    policy: Policy = DEFAULT
    config_version: ConfigVersion = NO_CONFIG
    ledger: Ledger = field(default_factory=Ledger)
    owned: dict[InstanceId, OwnedServer] = field(default_factory=dict)
    relinquished: dict[InstanceId, Relinquished] = field(default_factory=dict)
    log_ok_at: float = float("-inf")
    log_failed_at: float = float("-inf")
    config_read_at: float = float("-inf")
    ticked_at: float = float("-inf")
    acting: bool = False
    first_seen: dict[TaskId, float] = field(default_factory=dict)
    claims_sent: dict[InstanceId, float] = field(default_factory=dict)
    refusals_sent: dict[str, float] = field(default_factory=dict)
    obstacles: dict[TaskId, Obstacle] = field(default_factory=dict)
    passed_over: set[TaskId] = field(default_factory=set)
    owned_elsewhere_at: dict[InstanceId, float] = field(default_factory=dict)
    last_handover_at: float = float("-inf")
    stopping: bool = False
    service_rate: Callable[[ServiceName], float] = field(default=lambda service: 0.0)
    busy_slots: Callable[[InstanceId], int] = field(default=lambda server: 0)
    interference_model: interference.InterferenceModel = field(
        default_factory=interference.InterferenceModel
    )

    def log_status(self, now: float) -> LogStatus:
        """Return whether the log answers, and when it was last read to its end."""
        log_ok = now - self.log_ok_at <= _LOG_TIMEOUT_S and self.log_ok_at > self.log_failed_at
        return LogStatus(log_ok, self.log_ok_at)

    def is_ledger_fresh(self, now: float) -> bool:
        """Return whether the ledger has every record that was written `MAX_LEDGER_AGE_S` ago."""
        return now - self.log_ok_at <= MAX_LEDGER_AGE_S

    def is_config_fresh(self, now: float) -> bool:
        """Return whether the configuration is at most `MAX_CONFIG_AGE_S` old."""
        return now - self.config_read_at <= MAX_CONFIG_AGE_S

    def server_status(
        self,
        free_slots: Callable[[InstanceId], int],
        latency_s: Callable[[InstanceId], float] = lambda server: 0.0,
    ) -> tuple[ServerStatus, ...]:
        """Return the status of our servers for the next heartbeat."""
        return tuple(
            ServerStatus(
                server=owned.server,
                epoch=owned.epoch,
                free_slots=free_slots(owned.server),
                free=free_capacity(self, owned),
                ready=owned.phase is Phase.READY,
                latency_s=latency_s(owned.server),
            )
            for owned in self.owned.values()
        )


def can_act(core: Core, now: float) -> bool:
    """Return whether we may command our servers.

    After a pause this is False until a peer or the log has witnessed us again.
    """
    return core.acting and membership.may_act(core.members, core.log_ok_at, core.policy, now)


def free_capacity(core: Core, owned: OwnedServer) -> Resources:
    """Return the free capacity of an owned server for tasks; none if it may take no tasks."""
    instance = core.members.listed.get(owned.server)
    if instance is None or owned.phase is not Phase.READY:
        return NO_RESOURCES
    if ownership.drained(core.members, core.ledger, owned.server):
        return NO_RESOURCES
    return usable_capacity(core, owned, instance).minus(servers.allocated(owned, core.ledger))


def usable_capacity(core: Core, owned: OwnedServer, instance: Instance) -> Resources:
    """Return the total capacity for tasks of an owned server, given its runner's recent use."""
    use = owned.runner_use
    busy = instance.slots if use is None else reserved_slots(use, instance.slots)
    return placement.usable(instance, busy, core.policy)


def new_core(members: Members) -> Core:
    """Return the state of an instance that has just started."""
    return Core(members=members)
