"""Placement decisions: which server a task is placed on, or which obstacle prevents it.

The tests guard against batch work that slows sheltered services, work that waits forever, and
refusals that do not say what is missing.
"""

from spoolcrank import placement
from spoolcrank.fleet import Instance, Role
from spoolcrank.ids import Address, AvailabilityZone, InstanceId, Rack, ServiceName, TaskId
from spoolcrank.jobs import JobClass, JobSpec, Size
from spoolcrank.ledger import Task
from spoolcrank.placement import Obstacle, ServerCapacity
from spoolcrank.policy import DEFAULT, Policy
from spoolcrank.resources import Resources

BATCH_CAPACITY = Resources(16, 32_000, 0)


def capacity(name: str, free: float = 16, **fields: object) -> ServerCapacity:
    base = ServerCapacity(
        InstanceId(name), Rack("r"), "standard", Resources(free, 32_000, 0), BATCH_CAPACITY
    )
    return base._replace(**fields)


def spec(**fields: object) -> JobSpec:
    return JobSpec.model_validate({"name": "job", **fields})


def choose(
    job_spec: JobSpec, servers: list[ServerCapacity], noisiness: float | None = 0.0
) -> placement.Choice:
    size = job_spec.size.resources
    return placement.choose(
        size, job_spec, [], servers, {}, lambda server, name: noisiness, True, DEFAULT
    )


def test_batch_task_goes_to_the_server_with_the_least_free_capacity() -> None:
    choice = choose(spec(size=Size(processors=2.0)), [capacity("wide"), capacity("tight", 4)])
    assert choice.server == "tight"


def test_urgent_work_may_use_the_reserved_capacity() -> None:
    size = Size(processors=15.8)
    assert choose(spec(size=size), [capacity("a")]).obstacle is Obstacle.NO_ROOM
    assert choose(spec(size=size, urgency=9), [capacity("a")]).server == "a"


def test_only_work_known_as_quiet_is_placed_on_a_sheltered_server() -> None:
    sheltered = [capacity("a", sheltered=True)]
    assert choose(spec(), sheltered, None).obstacle is Obstacle.INTERFERENCE
    assert choose(spec(), sheltered, 0.8).obstacle is Obstacle.INTERFERENCE
    assert choose(spec(), sheltered, 0.0).server == "a"


def test_noisy_work_does_not_wait_forever() -> None:
    job_spec = spec()
    servers = [capacity("a", sheltered=True)]
    choice = placement.choose(
        job_spec.size.resources, job_spec, [], servers, {}, lambda s, n: 0.8, False, DEFAULT
    )
    assert choice.server == "a"
    assert placement.sheltered_count(1, DEFAULT) == 0


def test_suspect_server_is_probed_with_repeatable_work_only() -> None:
    servers = [capacity("good"), capacity("bad", suspect=True, probe=True)]
    assert choose(spec(), servers).server == "bad"
    assert choose(spec(repeatable=False), servers).server == "good"
    assert choose(spec(), [capacity("good"), capacity("bad", suspect=True)]).server == "good"


def test_services_spread_over_racks() -> None:
    servers = [capacity("a", rack=Rack("r1")), capacity("b", rack=Rack("r2"))]
    job_spec = spec(**{"class": JobClass.SERVICE})
    choice = placement.choose(
        job_spec.size.resources,
        job_spec,
        [],
        servers,
        {Rack("r1"): 1},
        lambda server, name: 0.0,
        True,
        DEFAULT,
    )
    assert choice.server == "b"


def test_long_waiting_task_goes_before_a_more_urgent_one() -> None:
    old = Task(id=TaskId("old.0"), job="old", since=0.0)  # type: ignore[arg-type]
    new = Task(id=TaskId("new.0"), job="new", since=1000.0)  # type: ignore[arg-type]
    wall = 1000.0
    first = placement.priority(old, spec(urgency=0), DEFAULT, wall)
    assert first < placement.priority(new, spec(urgency=5), DEFAULT, wall)


def test_quota_limits_a_team() -> None:
    policy = Policy(quotas={"accounts": 4.0})
    size = Resources(2, 0, 0)
    assert placement.within_quota("accounts", size, 2.0, policy)  # type: ignore[arg-type]
    assert not placement.within_quota("accounts", size, 3.0, policy)  # type: ignore[arg-type]


def test_refusal_names_the_nearest_server() -> None:
    instances = [
        Instance(
            id=InstanceId(f"backend-{cores}"),
            role=Role.BACKEND,
            availability_zone=AvailabilityZone("a"),
            address=Address("x:1"),
            processors=cores,
            memory_mb=64_000,
            service=ServiceName("quotes"),
            slots=8,
        )
        for cores in (16, 32)
    ]
    reason = placement.never_fits(spec(size=Size(processors=30.0)), instances, DEFAULT)
    assert "nearest backend-32 has 24 processors" in reason
    assert placement.never_fits(spec(size=Size(processors=20.0)), instances, DEFAULT) == ""


def test_a_suspect_server_that_may_not_host_a_task_keeps_it_from_no_other() -> None:
    """A task waited for the probe of a suspect server that is closed to work of unknown noise.

    That server could be probed by nobody and stayed due for a probe, so that all repeatable batch
    work of such classes waited for `patience_s`, 30 s, beside servers that could take it.
    """
    closed = {"suspect": True, "probe": True, "batch": False}
    servers = [capacity("good"), capacity("bad", **closed)]
    assert choose(spec(), servers, None).server == "good"
    sheltered = [capacity("good"), capacity("bad", suspect=True, probe=True, sheltered=True)]
    assert choose(spec(), sheltered, None).server == "good"
    assert choose(spec(), sheltered, 0.0).server == "bad"
