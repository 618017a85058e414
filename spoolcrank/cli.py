"""Run and operate a spoolcrank fleet from the command line."""

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
from spoolcrank.compiled_import import read_setting
from spoolcrank.errors import SpoolcrankError
from spoolcrank.hold_words import TASK_WAITS, describe_wait
from spoolcrank.ids import Address, AvailabilityZone, InstanceId, ServiceName
from spoolcrank.job_report import image_table, report_table
from spoolcrank.job_report import plot as draw_report
from spoolcrank.job_times import job_times
from spoolcrank.log_search import lines_about, parse_lines
from spoolcrank.resources import Resources
from spoolcrank.serve_args import DEFAULT_METRICS_PORT, PEERS_FLAG
from spoolcrank.settings import check_entry
from spoolcrank.wait_report import unknown_job_table, wait_table
from spoolcrank.wait_times import unknown_jobs, waits

app = typer.Typer(no_args_is_help=True, add_completion=False, help=__doc__)
standin = typer.Typer(no_args_is_help=True, help="Run a stand-in of the platform.")
app.add_typer(standin, name="standin")

_ERROR_CONSOLE = Console(stderr=True)
_EXIT_ERROR = 2
_MAX_DIFFERENCES_SHOWN = 10
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
    instances: Annotated[
        str, typer.Option(envvar="SPOOLCRANK_INSTANCES", help="URL of the instance list")
    ],
    statsd: Annotated[str | None, typer.Option(envvar="SPOOLCRANK_STATSD")] = None,
    log_file: Annotated[
        str, typer.Option(envvar="SPOOLCRANK_LOG_FILE", help="log file, - for stderr")
    ] = "-",
    trace_file: Annotated[
        str, typer.Option(envvar="SPOOLCRANK_TRACE_FILE", help="file for a trace of the decisions")
    ] = "",
    linger_s: Annotated[
        float,
        typer.Option(
            envvar="SPOOLCRANK_LINGER_S", help="seconds to accept connections after a stop signal"
        ),
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
    """Run a stand-in of the log service."""
    standin_log.run(Address(listen), retention_s)


@standin.command("instances")
def standin_instances_command(
    listen: Listen,
    fleet: Annotated[str, typer.Option(envvar="SPOOLCRANK_FLEET", help="fleet file")],
    lag_s: Annotated[float, typer.Option(envvar="SPOOLCRANK_LAG_S")] = 0.0,
) -> None:
    """Run a stand-in of the instance list."""
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
    """Run a stand-in of a backend server instance: a worker and, with --service, a runner."""
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
    command_id: Annotated[
        str, typer.Option("--id", help="id that makes a repeated command take effect once")
    ] = "",
    by: Annotated[str, typer.Option(envvar="SPOOLCRANK_OPERATOR")] = "operator",
) -> None:
    """Send an operator's command: show, why, submit, cancel, drain, set, config ..."""
    response = operator_commands.command(entry, words, command_id, by)
    if as_json:
        sys.stdout.write(json.dumps(response.body) + "\n")
    else:
        operator_commands.render(response, Console())
    raise typer.Exit(0 if response.ok else 1)


@app.command("load")
def load_command(
    entry: Annotated[
        list[str], typer.Option(envvar="SPOOLCRANK_ENTRY", help="URL; may be repeated")
    ],
    rate: Annotated[
        float, typer.Option(envvar="SPOOLCRANK_RATE", help="requests per second")
    ] = 50.0,
    duration: Annotated[float, typer.Option(envvar="SPOOLCRANK_DURATION", help="seconds")] = 10.0,
    service: Annotated[str, typer.Option(envvar="SPOOLCRANK_SERVICE")] = "quotes",
    deadline_ms: Annotated[float, typer.Option(envvar="SPOOLCRANK_DEADLINE_MS")] = 2000.0,
    keyed_share: Annotated[float, typer.Option(envvar="SPOOLCRANK_KEYED_SHARE")] = 0.0,
    urgent_share: Annotated[float, typer.Option(envvar="SPOOLCRANK_URGENT_SHARE")] = 0.2,
    job_rate: Annotated[
        float, typer.Option(envvar="SPOOLCRANK_JOB_RATE", help="jobs per second")
    ] = 0.0,
    job: Annotated[str, typer.Option(envvar="SPOOLCRANK_JOB", help="job file, TOML")] = "",
    seed: Annotated[int, typer.Option(envvar="SPOOLCRANK_SEED")] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="print JSON")] = False,
    answers: Annotated[str, typer.Option(help="file for all results, as JSON lines")] = "",
) -> None:
    """Send requests and jobs at a fixed rate and check all answers; exit with 1 if one is wrong."""
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
        lines = [json.dumps(result._asdict()) for result in report.request_results]
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
    """Replay a recorded trace; exit with 1 if the decisions differ from the recorded ones."""
    result = replay.replay(trace.read_text(encoding="utf-8").splitlines())
    console = Console()
    console.print(f"{result.input_count} inputs, {result.decision_count} decisions")
    for difference in result.differences[:_MAX_DIFFERENCES_SHOWN]:
        console.print(
            f"line {difference.line}: recorded {difference.recorded}, "
            f"replayed {difference.replayed}"
        )
    console.print(f"{len(result.differences)} differences")
    raise typer.Exit(1 if result.differences else 0)


@app.command("report")
def report_command(
    logs: Annotated[list[Path], typer.Argument(help="log files of all instances")],
    plot: Annotated[str, typer.Option(help="PNG file for a plot (extra `plots`)")] = "",
) -> None:
    """Report from the logs of the instances how jobs spent their time and for what they waited."""
    texts = [text for path in logs for text in path.read_text(encoding="utf-8").splitlines()]
    lines = list(parse_lines(texts))
    jobs = job_times(lines)
    if not jobs:
        _ERROR_CONSOLE.print(
            "the logs show no completed or unfinished job that was accepted and read by a leader"
        )
        raise typer.Exit(_EXIT_ERROR)
    console = Console(width=200)
    console.print(report_table(jobs))
    console.print(image_table(jobs))
    begin_s = min(line.at for line in lines)
    console.print(wait_table(waits(lines), begin_s))
    console.print(unknown_job_table(unknown_jobs(lines), begin_s))
    if plot:
        draw_report(jobs, plot)


@app.command("why")
def why_command(
    wanted: Annotated[str, typer.Argument(metavar="ID", help="a job, a request's path, a runner")],
    logs: Annotated[list[Path], typer.Option(help="log file of an instance; may be repeated")],
) -> None:
    """Show the log lines about a job, request or runner in time order; exit with 1 if none."""
    texts = [line for path in logs for line in path.read_text(encoding="utf-8").splitlines()]
    lines = lines_about(wanted, texts)
    for line in lines:
        elapsed = f"{line.at - lines[0].at:9.3f}"
        waits = line.event == TASK_WAITS
        text = describe_wait(line.fields) if waits else f"{line.event} {line.text()}"
        sys.stdout.write(f"{elapsed} {line.instance} {text}\n")
    raise typer.Exit(0 if lines else 1)


@app.command("serve")
def serve_command(
    metrics_port: Annotated[
        int, typer.Option(envvar="SPOOLCRANK_METRICS_PORT", help="port of the Prometheus metrics")
    ] = DEFAULT_METRICS_PORT,
    peers: Annotated[
        str,
        typer.Option(
            PEERS_FLAG,
            help="whether to forward requests to peers: on, off or auto (SPOOLCRANK_PEERS)",
        ),
    ] = "",
) -> None:
    """Run the daemon of an instance on the users' platform, with settings from a file."""
    from spoolcrank.platform.daemon import run

    read_setting()  # A wrong value ends the start here too.
    run(metrics_port, peers)


@app.command("demo")
def demo_command(
    seconds: Annotated[float, typer.Option(help="duration of the load")] = 12.0,
) -> None:
    """Run the whole system in one process and check its invariants."""
    raise typer.Exit(demo.run(seconds, Console()))


def main() -> None:
    """Run the command line.

    Errors of spoolcrank and of the operating system end it with one line on standard error and
    exit code 2.
    """
    try:
        app()
    except (SpoolcrankError, OSError) as exc:
        _ERROR_CONSOLE.print(f"[red]spoolcrank:[/red] {exc}", highlight=False)
        sys.exit(_EXIT_ERROR)


if __name__ == "__main__":
    main()
