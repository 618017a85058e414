"""A simulated log, workers and owners around the decision code, stepped by tests with faults."""

from dataclasses import dataclass, field
from typing import Any

from spoolcrank import core as decisions
from spoolcrank import invariants, membership, ownership_transfer
from spoolcrank._standin_worker import WorkerModel
from spoolcrank.fleet import Instance, Role
from spoolcrank.ids import Address, AvailabilityZone, Incarnation, InstanceId, JobId, Offset, Team
from spoolcrank.jobs import JobSpec, Size, TaskState
from spoolcrank.ledger import dump, load
from spoolcrank.membership import Heartbeat, Members
from spoolcrank.owned_server import Append, Send
from spoolcrank.policy import DEFAULT, Policy
from spoolcrank.records import Ended, Entry, Envelope, JobAccepted
from spoolcrank.resources import Resources
from spoolcrank.server_commands import evict
from spoolcrank.servers import batch_tasks
from spoolcrank.state import Core, Handover, can_act, new_core
from spoolcrank.worker import Refused

STEP_S = 0.25
"""Simulated time of one step, seconds."""

LINK_DELAY_S = 1.5
"""Time after which a command on a late link reaches its worker, seconds."""

ZONE = AvailabilityZone("a")
OWNERS = ("entry-1", "entry-2", "entry-3")
SERVERS = ("backend-1", "backend-2")
CAPACITY = Resources(5, 4000, 0)


@dataclass
class Owner:
    """An entry instance: its decision core and what the simulation keeps for it."""

    core: Core
    seq: int = 0
    heartbeats: int = 0
    next_offset: int = 0
    outbox: list[Envelope] = field(default_factory=list)
    paused: bool = False
    skew_s: float = 0.0


class World:
    """The environment of the cores; only `advance` moves the time.

    Attributes:
        cut: links, as pairs of sender and receiver, on which nothing arrives.
        mute: links on which commands arrive but their answers are lost.
        late: links on which commands arrive after `LINK_DELAY_S` and their answers are lost.
        holding: owners whose commands are held until `release`.
        doubles: whether each record is appended to the log twice.
        once_only: jobs whose tasks must not run twice.
    """

    def __init__(self, policy: Policy = DEFAULT, fenced: bool = True) -> None:
        self.policy = policy
        self.now = 1000.0
        self.log: list[Envelope] = []
        self.log_up = True
        self.doubles = False
        self.cut: set[tuple[str, str]] = set()
        self.mute: set[tuple[str, str]] = set()
        self.late: set[tuple[str, str]] = set()
        self.delayed_sends: list[tuple[float, Send]] = []
        self.holding: set[str] = set()
        self.held_sends: list[tuple[str, Send]] = []
        self.incarnations = 0
        self.jobs = 0
        self.once_only: list[str] = []
        self.fenced = fenced
        self.workers: dict[str, WorkerModel] = {}
        self.journals: list[dict[str, Any]] = []
        for name in SERVERS:
            self.start_worker(name)
        self.owners: dict[str, Owner] = {}
        for name in OWNERS:
            self.start_owner(name)
        self.advance(4.0)

    def _incarnation(self, name: str) -> Incarnation:
        self.incarnations += 1
        return Incarnation(f"{name}-{self.incarnations}")

    def start_worker(self, name: str) -> None:
        """Start or restart a worker; a restart ends the runs of the old process."""
        old = self.workers.get(name)
        if old is not None:
            self._archive_journal(name, old)
        worker = WorkerModel(self._incarnation(name), CAPACITY, report_lag_s=5.0)
        if not self.fenced:
            worker._fence = lambda cmd, now: None  # type: ignore[method-assign]
        self.workers[name] = worker

    def _archive_journal(self, name: str, worker: WorkerModel) -> None:
        runs = [
            run._replace(end=self.now) if run.end is None else run
            for run in worker.journal(self.now)
        ]
        self.journals.append(_journal(name, runs, worker))

    def start_owner(self, name: str) -> None:
        members = Members(InstanceId(name), self._incarnation(name), ZONE, self.now)
        core = new_core(members)
        core.policy = self.policy
        membership.on_list(members, _instances(), self.now)
        self.owners[name] = Owner(core, skew_s=float(self.incarnations))

    def crash(self, name: str) -> None:
        self.owners.pop(name, None)

    def submit(
        self,
        tasks: int,
        run_s: float,
        repeatable: bool,
        name: str = "work",
        team: str = "default",
        processors: float = 2.0,
        urgency: int = 0,
    ) -> None:
        self.jobs += 1
        job = JobId(f"job-{self.jobs}")
        if not repeatable:
            self.once_only.append(job)
        spec = JobSpec(
            name=name,
            tasks=tasks,
            size=Size(processors=processors, memory_mb=1000.0),
            repeatable=repeatable,
            team=Team(team),
            urgency=urgency,
            payload={"run_s": run_s},
        )
        record = JobAccepted(job=job, spec=spec)
        envelope = Envelope(writer=Incarnation(job), seq=1, at=self.now, record=record)
        self.log.append(envelope)

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self._step()

    def _step(self) -> None:
        self.now += STEP_S
        for worker in self.workers.values():
            worker.advance(self.now)
        for delayed in [delayed for delayed in self.delayed_sends if delayed[0] <= self.now]:
            self.delayed_sends.remove(delayed)
            self._deliver(delayed[1])
        for name, owner in list(self.owners.items()):
            if not owner.paused:
                self._send_heartbeat(name, owner)
        for name, owner in list(self.owners.items()):
            if not owner.paused:
                self._run_owner(name, owner)

    def _send_heartbeat(self, name: str, owner: Owner) -> None:
        core = owner.core
        owner.heartbeats += 1
        now = self.now + owner.skew_s
        heartbeat = Heartbeat(
            sender=core.members.me,
            incarnation=core.members.incarnation,
            zone=ZONE,
            seq=owner.heartbeats,
            sent_at=now,
            leaving=core.stopping,
            ready=True,
            config_version=core.config_version,
            ledger_offset=core.ledger.offset,
            log_ok=core.log_status(now).log_ok,
            servers=core.server_status(lambda server: 0),
            echoes=membership.echoes(core.members, now),
        )
        for other, peer in self.owners.items():
            if other != name and not peer.paused and (name, other) not in self.cut:
                decisions.on_heartbeat(peer.core, heartbeat, self.now + peer.skew_s)

    def _run_owner(self, name: str, owner: Owner) -> None:
        now = self.now + owner.skew_s
        core = owner.core
        actions = []
        membership.on_list_read(core.members, now)
        if self.log_up and (name, "log") not in self.cut:
            self._append(owner)
            for offset in range(owner.next_offset, len(self.log)):
                actions += decisions.on_entry(core, Entry(Offset(offset), self.log[offset]), now)
            owner.next_offset = len(self.log)
            decisions.on_log_read(core, now)
            decisions.on_config_read(core, now)
        else:
            decisions.on_log_failed(core, now)
            self.take_peer_ledger(name)
        actions += decisions.tick(core, now, self.now)
        self._act(name, owner, actions)

    def take_peer_ledger(self, name: str) -> None:
        """Replace an owner's ledger by that of a reachable peer that has read more of the log."""
        owner = self.owners[name]
        reachable = [
            peer.core.ledger
            for other, peer in self.owners.items()
            if other != name and not peer.paused and (other, name) not in self.cut
        ]
        ahead = max(reachable, key=lambda ledger: ledger.offset, default=owner.core.ledger)
        if ahead.offset <= owner.core.ledger.offset:
            return
        now = self.now + owner.skew_s
        actions = decisions.replace_ledger(owner.core, load(dump(ahead)), now)
        owner.next_offset = ahead.offset
        self._act(name, owner, actions)

    def _append(self, owner: Owner) -> None:
        self.log += owner.outbox
        if self.doubles:
            self.log += owner.outbox
        owner.outbox.clear()

    def _act(self, name: str, owner: Owner, actions: list[Any]) -> None:
        for action in actions:
            match action:
                case Append():
                    owner.seq += 1
                    writer = owner.core.members.incarnation
                    owner.outbox.append(
                        Envelope(writer=writer, seq=owner.seq, at=self.now, record=action.record)
                    )
                case Send():
                    self._send(name, owner, action)
                case Handover():
                    successor = self.owners.get(action.to)
                    if successor is not None and (name, action.to) not in self.cut:
                        now = self.now + successor.skew_s
                        reactions = ownership_transfer.on_handover(
                            successor.core, action.server, action.epoch, action.busy, now
                        )
                        self._act(action.to, successor, reactions)
                case _:
                    pass

    def _send(self, name: str, owner: Owner, send: Send) -> None:
        now = self.now + owner.skew_s
        if name in self.holding:
            self.held_sends.append((name, send))
            decisions.on_silence(owner.core, send.server, now)
            return
        if (name, send.server) in self.late:
            self.delayed_sends.append((self.now + LINK_DELAY_S, send))
            decisions.on_silence(owner.core, send.server, now)
            return
        if (name, send.server) in self.cut:
            decisions.on_silence(owner.core, send.server, now)
            return
        answer = self._deliver(send)
        if (name, send.server) in self.mute:
            decisions.on_silence(owner.core, send.server, now)
        elif isinstance(answer, Refused):
            self._act(name, owner, decisions.on_refused(owner.core, send.server, answer, now))
        else:
            self._act(name, owner, decisions.on_report(owner.core, send.server, answer, now, now))

    def _deliver(self, send: Send) -> Any:
        return self.workers[send.server].execute(send.command, self.now)

    def release(self) -> None:
        """Deliver every held command twice: commands may arrive late and be duplicated."""
        held_sends, self.held_sends = self.held_sends, []
        self.holding.clear()
        for _, send in [*held_sends, *held_sends]:
            self._deliver(send)

    def evict_one(self, name: str) -> None:
        """Have an owner evict the first batch task of each of its servers."""
        owner = self.owners.get(name)
        if owner is None or owner.paused:
            return
        for owned in list(owner.core.owned.values()):
            for task, attempt in list(batch_tasks(owned))[:1]:
                if can_act(owner.core, self.now + owner.skew_s):
                    now = self.now + owner.skew_s
                    self._act(name, owner, [evict(owned, task, attempt, self.policy, now)])

    def heal(self) -> None:
        """Remove all faults and deliver the held commands."""
        self.cut.clear()
        self.mute.clear()
        self.late.clear()
        self.release()
        self.log_up = True
        self.doubles = False
        for owner in self.owners.values():
            owner.paused = False

    def breaches(self) -> list[invariants.Breach]:
        """Return every invariant that the journals of all workers, also ended ones, violate."""
        journals = [
            _journal(name, worker.journal(self.now), worker)
            for name, worker in self.workers.items()
        ]
        given_up = [
            env.record.task
            for env in self.log
            if isinstance(env.record, Ended) and env.record.how == "lost"
        ]
        return invariants.check([*self.journals, *journals], [], self.once_only, given_up)

    def open_tasks(self) -> list[str]:
        """Return the tasks that have not ended, by the ledger of one owner."""
        ledger = next(iter(self.owners.values())).core.ledger
        return [
            f"{task.id} {task.state.value} {task.reason}"
            for task in ledger.tasks.values()
            if task.state in (TaskState.PENDING, TaskState.RUNNING)
        ]


def _journal(name: str, runs: list[Any], worker: WorkerModel) -> dict[str, Any]:
    return {
        "instance": name,
        "runs": [run._asdict() for run in runs],
        "overcommits": [item._asdict() for item in worker.overcommits],
        "requests": [],
        "runner_peak": 0,
        "slots": 0,
    }


def _instances() -> list[Instance]:
    entries = [
        Instance(
            id=InstanceId(name), role=Role.ENTRY, availability_zone=ZONE, address=Address("x:1")
        )
        for name in OWNERS
    ]
    backends = [
        Instance(
            id=InstanceId(name),
            role=Role.BACKEND,
            availability_zone=ZONE,
            address=Address("x:1"),
            processors=CAPACITY.processors,
            memory_mb=CAPACITY.memory_mb,
        )
        for name in SERVERS
    ]
    return entries + backends
