"""Give the command line: one program over one library."""

import json
import sys
import tomllib
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console

from spoolcrank import ctl as operator_commands
from spoolcrank import demo, load, replay, standin_backend, standin_instances, standin_log
from spoolcrank import entry as entry_daemon
from spoolcrank.errors import SpoolcrankError
from spoolcrank.ids import Address, AvailabilityZone, InstanceId, ServiceName
from spoolcrank.job_report import image_table, report_table
from spoolcrank.job_report import plot as draw_report
from spoolcrank.job_times import job_times
from spoolcrank.log_search import lines_about, parsed
from spoolcrank.resources import Resources
from spoolcrank.serve_words import METRICS_PORT
from spoolcrank.settings import check_entry

app = typer.Typer(no_args_is_help=True, add_completion=False, help=__doc__)
standin = typer.Typer(no_args_is_help=True, help="Run a stand-in of the platform.")
app.add_typer(standin, name="standin")

_ERRORS = Console(stderr=True)
_EXIT_BAD = 2
_DIFFERENCES_SHOWN = 10
_DEFAULT_JOB = {"name": "load", "payload": {"run_s": 1.0}}

Listen = Annotated[str, typer.Option(envvar="SPOOLCRANK_LISTEN", help="IP:PORT")]
InstanceOption = Annotated[str, typer.Option("--instance-id", envvar="SPOOLCRANK_INSTANCE_ID")]
ZoneOption = Annotated[
    str, typer.Option("--availability-zone", envvar="SPOOLCRANK_AVAILABILITY_ZONE")
]


@app.command()
def entry(
    instance_id: InstanceOption,
    availability_zone: ZoneOption,
    listen: Listen,
    peer_listen: Annotated[str, typer.Option(envvar="SPOOLCRANK_PEER_LISTEN")],
    log: Annotated[str, typer.Option(envvar="SPOOLCRANK_LOG", help="URL of the log")],
    instances: Annotated[str, typer.Option(envvar="SPOOLCRANK_INSTANCES", help="URL of the list")],
    statsd: Annotated[str | None, typer.Option(envvar="SPOOLCRANK_STATSD")] = None,
    log_file: Annotated[str, typer.Option(envvar="SPOOLCRANK_LOG_FILE", help="- is stderr")] = "-",
    trace_file: Annotated[
        str, typer.Option(envvar="SPOOLCRANK_TRACE_FILE", help="record the decisions here")
    ] = "",
    linger_s: Annotated[
        float, typer.Option(envvar="SPOOLCRANK_LINGER_S", help="serve on so long when stopping")
    ] = 2.0,
) -> None:
    """Run an entry instance."""
    settings = check_entry(
        instance_id=instance_id,
        availability_zone=availability_zone,
        listen=listen,
        peer_listen=peer_listen,
        log=log,
        instances=instances,
        statsd=statsd,
        log_file=log_file,
        linger_s=linger_s,
        trace_file=trace_file,
    )
    entry_daemon.run(settings)


@standin.command("log")
def standin_log_command(
    listen: Listen,
    retention_s: Annotated[float, typer.Option(envvar="SPOOLCRANK_RETENTION_S")] = 86400.0,
) -> None:
    """Run a log service."""
    standin_log.run(Address(listen), retention_s)


@standin.command("instances")
def standin_instances_command(
    listen: Listen,
    fleet: Annotated[str, typer.Option(envvar="SPOOLCRANK_FLEET", help="fleet file")],
    lag_s: Annotated[float, typer.Option(envvar="SPOOLCRANK_LAG_S")] = 0.0,
) -> None:
    """Run an instance list."""
    standin_instances.run(Address(listen), standin_instances.read_fleet(fleet), lag_s)


def _backend(
    instance_id: InstanceOption,
    availability_zone: ZoneOption,
    listen: Listen,
    processors: Annotated[float, typer.Option(envvar="SPOOLCRANK_PROCESSORS")],
    memory_mb: Annotated[float, typer.Option(envvar="SPOOLCRANK_MEMORY_MB")],
    accelerators: Annotated[int, typer.Option(envvar="SPOOLCRANK_ACCELERATORS")] = 0,
    service: Annotated[str, typer.Option(envvar="SPOOLCRANK_SERVICE")] = "",
    slots: Annotated[int, typer.Option(envvar="SPOOLCRANK_SLOTS")] = 8,
    service_time_ms: Annotated[float, typer.Option(envvar="SPOOLCRANK_SERVICE_TIME_MS")] = 20.0,
    interference: Annotated[str, typer.Option(envvar="SPOOLCRANK_INTERFERENCE")] = "",
    report_lag_s: Annotated[float, typer.Option(envvar="SPOOLCRANK_REPORT_LAG_S")] = 1.0,
    speed: Annotated[float, typer.Option(envvar="SPOOLCRANK_SPEED")] = 1.0,
    fail_all: Annotated[bool, typer.Option(envvar="SPOOLCRANK_FAIL_ALL")] = False,
    seed: Annotated[int, typer.Option(envvar="SPOOLCRANK_SEED")] = 1,
) -> None:
    """Run a backend server instance: a worker and, with --service, a runner."""
    name = ServiceName(service)
    slowdowns = standin_backend.read_slowdowns(interference, name) if interference else {}
    standin_backend.run(
        standin_backend.BackendSettings(
            instance_id=InstanceId(instance_id),
            availability_zone=AvailabilityZone(availability_zone),
            listen=Address(listen),
            capacity=Resources(processors, memory_mb, accelerators),
            service=name,
            slots=slots,
            service_time_ms=service_time_ms,
            slowdowns=slowdowns,
            speed=speed,
            report_lag_s=report_lag_s,
            fail_all=fail_all,
            seed=seed,
        )
    )


for _name in ("backend", "worker", "runner"):
    standin.command(_name)(_backend)


@app.command()
def ctl(
    words: Annotated[list[str], typer.Argument(help="the command, such as: show pending")],
    entry: Annotated[str, typer.Option(envvar="SPOOLCRANK_ENTRY", help="URL")],
    as_json: Annotated[bool, typer.Option("--json", help="print JSON")] = False,
    command_id: Annotated[str, typer.Option("--id", help="repeat a command safely")] = "",
    by: Annotated[str, typer.Option(envvar="SPOOLCRANK_OPERATOR")] = "operator",
) -> None:
    """Give an operator's command: show, why, submit, cancel, drain, set, config ..."""
    told = operator_commands.command(entry, words, command_id, by)
    if as_json:
        sys.stdout.write(json.dumps(told.body) + "\n")
    else:
        operator_commands.render(told, Console())
    raise typer.Exit(0 if told.ok else 1)


@app.command("load")
def load_command(
    entry: Annotated[list[str], typer.Option(envvar="SPOOLCRANK_ENTRY", help="URL; repeat it")],
    rate: Annotated[float, typer.Option(envvar="SPOOLCRANK_RATE", help="requests a second")] = 50.0,
    duration: Annotated[float, typer.Option(envvar="SPOOLCRANK_DURATION", help="seconds")] = 10.0,
    service: Annotated[str, typer.Option(envvar="SPOOLCRANK_SERVICE")] = "quotes",
    deadline_ms: Annotated[float, typer.Option(envvar="SPOOLCRANK_DEADLINE_MS")] = 2000.0,
    keyed_share: Annotated[float, typer.Option(envvar="SPOOLCRANK_KEYED_SHARE")] = 0.0,
    urgent_share: Annotated[float, typer.Option(envvar="SPOOLCRANK_URGENT_SHARE")] = 0.2,
    job_rate: Annotated[float, typer.Option(envvar="SPOOLCRANK_JOB_RATE", help="a second")] = 0.0,
    job: Annotated[str, typer.Option(envvar="SPOOLCRANK_JOB", help="job file, TOML")] = "",
    seed: Annotated[int, typer.Option(envvar="SPOOLCRANK_SEED")] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="print JSON")] = False,
    answers: Annotated[str, typer.Option(help="write every answer here, JSON lines")] = "",
) -> None:
    """Offer requests and jobs, check every answer, report percentiles; 1 if any is broken."""
    spec = tomllib.loads(Path(job).read_text(encoding="utf-8")) if job else _DEFAULT_JOB
    plan = load.LoadPlan(
        entries=entry,
        service=service,
        rate=rate,
        duration_s=duration,
        deadline_ms=deadline_ms,
        keyed_share=keyed_share,
        urgent_share=urgent_share,
        job_rate=job_rate,
        job=spec,
        seed=seed,
    )
    report = load.offer(plan)
    if answers:
        lines = [json.dumps(one._asdict()) for one in report.seen]
        Path(answers).write_text("\n".join(lines) + "\n", encoding="utf-8")
    if as_json:
        sys.stdout.write(json.dumps(report.summary()) + "\n")
    else:
        load.render(report, Console())
    raise typer.Exit(1 if report.broken else 0)


@app.command("replay")
def replay_command(
    trace: Annotated[Path, typer.Argument(help="a trace, JSON lines", exists=True)],
) -> None:
    """Feed a recorded trace to the decisions; 1 if they decide otherwise than stated."""
    found = replay.replay(trace.read_text(encoding="utf-8").splitlines())
    console = Console()
    console.print(f"{found.inputs} inputs, {found.decided} decisions")
    for one in found.differences[:_DIFFERENCES_SHOWN]:
        console.print(f"line {one.line}: stated {one.stated}, decided {one.decided}")
    console.print(f"{len(found.differences)} differences")
    raise typer.Exit(1 if found.differences else 0)


@app.command("report")
def report_command(
    logs: Annotated[list[Path], typer.Argument(help="log files of all instances")],
    plot: Annotated[str, typer.Option(help="PNG file for a plot (extra `plots`)")] = "",
) -> None:
    """Tell from instances' logs where the time of each queue's jobs went."""
    texts = [text for path in logs for text in path.read_text(encoding="utf-8").splitlines()]
    jobs = job_times(parsed(texts))
    if not jobs:
        _ERRORS.print("no line of a job that was accepted and ended stands in these logs")
        raise typer.Exit(_EXIT_BAD)
    console = Console(width=200)
    console.print(report_table(jobs))
    console.print(image_table(jobs))
    if plot:
        draw_report(jobs, plot)


@app.command("why")
def why_command(
    wanted: Annotated[str, typer.Argument(metavar="ID", help="a job, a request's path, a runner")],
    logs: Annotated[list[Path], typer.Option(help="log file of an instance; repeat it")],
) -> None:
    """Show what instances' logs say of one job or request, in order; 1 if nothing."""
    texts = [line for path in logs for line in path.read_text(encoding="utf-8").splitlines()]
    found = lines_about(wanted, texts)
    for line in found:
        moment = f"{line.at - found[0].at:9.3f}"
        sys.stdout.write(f"{moment} {line.instance} {line.event} {line.text()}\n")
    raise typer.Exit(0 if found else 1)


@app.command("serve")
def serve_command(
    metrics_port: Annotated[
        int, typer.Option(envvar="SPOOLCRANK_METRICS_PORT", help="tell the figures there")
    ] = METRICS_PORT,
) -> None:
    """Run the daemon of an instance on the users' platform; its settings are in a file."""
    from spoolcrank.platform.daemon import run

    run(metrics_port)


@app.command("demo")
def demo_command(
    seconds: Annotated[float, typer.Option(help="how long load is offered")] = 12.0,
) -> None:
    """Run the whole system in one process and check its promises."""
    raise typer.Exit(demo.run(seconds, Console()))


def main() -> None:
    """Run the program; errors of ours end in one line and exit code 2."""
    try:
        app()
    except (SpoolcrankError, OSError) as exc:
        _ERRORS.print(f"[red]spoolcrank:[/red] {exc}", highlight=False)
        sys.exit(_EXIT_BAD)


if __name__ == "__main__":
    main()
