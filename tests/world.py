"""A log, workers and owners around the pure decisions, stepped by hand with faults."""

from dataclasses import dataclass, field
from typing import Any

from spoolcrank import core as decisions
from spoolcrank import membership, promises, tenure
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
LATE_S = 1.5
ZONE = AvailabilityZone("a")
OWNERS = ("entry-1", "entry-2", "entry-3")
SERVERS = ("backend-1", "backend-2")
CAPACITY = Resources(5, 4000, 0)


@dataclass
class Owner:
    core: Core
    seq: int = 0
    beats: int = 0
    read: int = 0
    outbox: list[Envelope] = field(default_factory=list)
    paused: bool = False
    skew_s: float = 0.0


class World:
    """Everything around the cores; time moves by `advance` alone."""

    def __init__(self, policy: Policy = DEFAULT, fenced: bool = True) -> None:
        self.policy = policy
        self.now = 1000.0
        self.log: list[Envelope] = []
        self.log_up = True
        self.doubles = False
        self.cut: set[tuple[str, str]] = set()
        self.mute: set[tuple[str, str]] = set()
        self.late: set[tuple[str, str]] = set()
        self.due: list[tuple[float, Send]] = []
        self.holding: set[str] = set()
        self.held: list[tuple[str, Send]] = []
        self.births = 0
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
        self.births += 1
        return Incarnation(f"{name}-{self.births}")

    def start_worker(self, name: str) -> None:
        """Start a worker anew: what it ran ends with it."""
        old = self.workers.get(name)
        if old is not None:
            self._bury(name, old)
        worker = WorkerModel(self._incarnation(name), CAPACITY, report_lag_s=5.0)
        if not self.fenced:
            worker._fence = lambda cmd, now: None  # type: ignore[method-assign]
        self.workers[name] = worker

    def _bury(self, name: str, worker: WorkerModel) -> None:
        runs = [
            run._replace(end=self.now) if run.end is None else run
            for run in worker.journal(self.now)
        ]
        self.journals.append(_journal(name, runs, worker))

    def start_owner(self, name: str) -> None:
        members = Members(InstanceId(name), self._incarnation(name), ZONE, self.now)
        core = new_core(members)
        core.policy = self.policy
        membership.on_list(members, _listed(), self.now)
        self.owners[name] = Owner(core, skew_s=float(self.births))

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
        for due in [due for due in self.due if due[0] <= self.now]:
            self.due.remove(due)
            self._deliver(due[1])
        for name, owner in list(self.owners.items()):
            if not owner.paused:
                self._beat(name, owner)
        for name, owner in list(self.owners.items()):
            if not owner.paused:
                self._run(name, owner)

    def _beat(self, name: str, owner: Owner) -> None:
        core = owner.core
        owner.beats += 1
        now = self.now + owner.skew_s
        beat = Heartbeat(
            sender=core.members.me,
            incarnation=core.members.incarnation,
            zone=ZONE,
            seq=owner.beats,
            sent_at=now,
            leaving=core.stopping,
            ready=True,
            config_version=core.config_version,
            ledger_offset=core.ledger.offset,
            log_ok=core.situation(now).log_ok,
            servers=core.server_status(lambda server: 0),
            echoes=membership.echoes(core.members, now),
        )
        for other, peer in self.owners.items():
            if other != name and not peer.paused and (name, other) not in self.cut:
                decisions.on_heartbeat(peer.core, beat, self.now + peer.skew_s)

    def _run(self, name: str, owner: Owner) -> None:
        now = self.now + owner.skew_s
        core = owner.core
        actions = []
        if self.log_up and (name, "log") not in self.cut:
            self._append(owner)
            for offset in range(owner.read, len(self.log)):
                actions += decisions.on_entry(core, Entry(Offset(offset), self.log[offset]), now)
            owner.read = len(self.log)
            decisions.on_log_read(core, now)
        else:
            decisions.on_log_failed(core, now)
            self.take_state(name)
        actions += decisions.tick(core, now, self.now)
        self._act(name, owner, actions)

    def take_state(self, name: str) -> None:
        """Let an owner take the ledger of a peer that it hears and that is ahead."""
        owner = self.owners[name]
        heard = [
            peer.core.ledger
            for other, peer in self.owners.items()
            if other != name and not peer.paused and (other, name) not in self.cut
        ]
        ahead = max(heard, key=lambda ledger: ledger.offset, default=owner.core.ledger)
        if ahead.offset <= owner.core.ledger.offset:
            return
        now = self.now + owner.skew_s
        found = decisions.replace_ledger(owner.core, load(dump(ahead)), now)
        owner.read = ahead.offset
        self._act(name, owner, found)

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
                    heir = self.owners.get(action.to)
                    if heir is not None and (name, action.to) not in self.cut:
                        now = self.now + heir.skew_s
                        given = tenure.on_handover(
                            heir.core, action.server, action.epoch, action.busy, now
                        )
                        self._act(action.to, heir, given)
                case _:
                    pass

    def _send(self, name: str, owner: Owner, send: Send) -> None:
        now = self.now + owner.skew_s
        if name in self.holding:
            self.held.append((name, send))
            decisions.on_silence(owner.core, send.server, now)
            return
        if (name, send.server) in self.late:
            self.due.append((self.now + LATE_S, send))
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
        return self.workers[send.server].obey(send.command, self.now)

    def release(self) -> None:
        """Deliver, late and twice, every command that was held up on its way."""
        held, self.held = self.held, []
        self.holding.clear()
        for _, send in [*held, *held]:
            self._deliver(send)

    def evict_one(self, name: str) -> None:
        owner = self.owners.get(name)
        if owner is None or owner.paused:
            return
        for owned in list(owner.core.owned.values()):
            for task, attempt in list(batch_tasks(owned))[:1]:
                if can_act(owner.core, self.now + owner.skew_s):
                    now = self.now + owner.skew_s
                    self._act(name, owner, [evict(owned, task, attempt, self.policy, now)])

    def heal(self) -> None:
        self.cut.clear()
        self.mute.clear()
        self.late.clear()
        self.release()
        self.log_up = True
        self.doubles = False
        for owner in self.owners.values():
            owner.paused = False

    def breaches(self) -> list[promises.Breach]:
        journals = [
            _journal(name, worker.journal(self.now), worker)
            for name, worker in self.workers.items()
        ]
        given_up = [
            env.record.task
            for env in self.log
            if isinstance(env.record, Ended) and env.record.how == "lost"
        ]
        return promises.check([*self.journals, *journals], [], self.once_only, given_up)

    def open_tasks(self) -> list[str]:
        """Return the tasks that have not ended, by an owner that read everything."""
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


def _listed() -> list[Instance]:
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
