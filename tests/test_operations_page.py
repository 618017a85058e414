"""Run every command of docs/OPERATIONS.md against a small fleet."""

import os
import re
import shlex
import subprocess
import sys
from pathlib import Path

from tests.scenario import Scenario, call, wait_for

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "OPERATIONS.md"
DECLARE_LOST = "declare-lost"
"""A command that is refused while the server still answers."""


def commands_of_page() -> list[str]:
    blocks = re.findall(r"```ctl\n(.*?)```", PAGE.read_text(), re.DOTALL)
    return [line for block in blocks for line in block.splitlines() if line.strip()]


def ctl(entry: str, line: str) -> subprocess.CompletedProcess[str]:
    args = [sys.executable, "-m", "spoolcrank.cli", "ctl", "--entry", entry, *shlex.split(line)]
    env = {**os.environ, "COLUMNS": "200"}
    return subprocess.run(args, capture_output=True, text=True, cwd=ROOT, timeout=60, env=env)


def wait_until_accepted(entry: str, line: str) -> bool:
    return bool(wait_for(lambda: ctl(entry, line).returncode == 0, 30, line))


def test_every_command_of_the_page_works() -> None:
    with Scenario() as run:
        size = {"processors": 2, "memory_mb": 1000}
        job = run.submit("entry-a1", name="held", tasks=2, size=size, payload={"run_s": 600})
        run.wait_running("entry-a1", 2)
        lines = commands_of_page()
        assert len(lines) > 15
        for line in lines:
            line = line.replace("$JOB", job).replace("$TASK", f"{job}.0")
            if line.startswith(DECLARE_LOST):
                server = line.split()[1]
                result = ctl(run.entry("entry-b2").url, line)
                assert "it is not lost" in result.stdout + result.stderr
                call("POST", f"{run.fleet.backends[server].url}/faults", {"silent": True})
                assert wait_until_accepted(run.entry("entry-b2").url, line)
                continue
            result = ctl(run.entry("entry-b2").url, line)
            assert result.returncode == 0, (line, result.stdout, result.stderr)


def test_an_unknown_word_is_reported_with_its_position_and_a_suggestion() -> None:
    with Scenario(entries_per_zone=1) as run:
        result = ctl(run.entry("entry-a1").url, "show runing")
        assert result.returncode == 1
        assert "'runing' at character 6" in result.stdout
        assert "did you mean 'running'" in result.stdout


def test_concurrent_operators_reach_one_order_that_all_instances_agree_on() -> None:
    with Scenario() as run:
        urls = [process.url for process in run.fleet.entries.values()]
        job = run.submit("entry-a1", name="contended", payload={"run_s": 600})
        clients = []
        for number, url in enumerate(urls):
            for text in (
                f"set routing.deadline_ms={1000 + number}",
                f"cancel {job}",
                "drain backend-a1",
            ):
                body = f'{{"text": "{text}", "by": "operator-{number}"}}'
                args = [sys.executable, "-c", _POST, f"{url}/commands", body]
                clients.append(subprocess.Popen(args, stdout=subprocess.PIPE, text=True))
        answers = [client.communicate(timeout=60)[0].strip() for client in clients]
        assert sum(line.startswith("200") and "cancelled 1" in line for line in answers) == 1
        assert sum(line.startswith("200") and "backend-a1 drained" in line for line in answers) == 1
        assert any("cancelled before by" in line for line in answers)

        def agreed(path: str, field: str) -> bool:
            values = {str(call("GET", f"{url}{path}").json()[field]) for url in urls}
            return len(values) == 1

        wait_for(lambda: agreed("/config", "toml"), 14, "configurations differ")
        wait_for(lambda: agreed(f"/jobs/{job}", "state"), 14, "jobs differ")
        losers = [line for line in answers if line.startswith("409") and "beaten by" in line]
        winners = [line for line in answers if "in force" in line]
        assert len(winners) >= 1
        assert len(losers) + len(winners) <= len(urls)


_POST = """
import sys, urllib.request, urllib.error
req = urllib.request.Request(sys.argv[1], data=sys.argv[2].encode(), method="POST")
try:
    res = urllib.request.urlopen(req, timeout=30)
    print(res.status, res.read().decode())
except urllib.error.HTTPError as exc:
    print(exc.code, exc.read().decode())
"""
