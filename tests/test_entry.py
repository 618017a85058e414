"""Requests, jobs, configuration and invalid input on a fleet of real processes.

The tests guard against faults that appear only between processes: wrong answers to invalid input, a
configuration that is rolled back, new work on a leaving server, and an instance that cannot start
once the records it would read have expired from the log.
"""

import socket
import time

import pytest

from tests.scenario import Scenario, call, wait_for

START_DELAY_S = 0.5
"""Time after all instances report a server as drained in which placements made before may still
start, seconds."""


def send_raw(address: str, data: bytes) -> bytes:
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        sock.sendall(data)
        return sock.recv(65536)


def test_services_and_jobs_of_all_classes_and_invalid_input() -> None:
    with Scenario() as run:
        entry = run.entry("entry-a1")
        for name in run.fleet.entries:
            answer = call("POST", f"{run.entry(name).url}/services/quotes/p?x=1", name.encode())
            assert answer.status == 200, (name, answer)
            assert answer.json()["body"] == name
            assert answer.headers["Spoolcrank-Request-Id"] == answer.json()["request_id"]
        payload = {"run_s": 0.5}
        batch = run.submit("entry-b1", name="batch", tasks=4, payload=payload)
        once = run.submit("entry-c1", name="once", repeatable=False, payload=payload)
        service = run.submit(
            "entry-a2", **{"class": "service"}, name="svc", urgency=9, payload=payload
        )
        watcher = run.submit("entry-a2", **{"class": "watcher"}, name="watch", payload=payload)
        huge = run.submit("entry-a1", name="huge", size={"processors": 900})
        for job, state in (
            (batch, "finished"),
            (once, "finished"),
            (service, "finished"),
            (huge, "refused"),
        ):
            wait_for(
                lambda job=job, state=state: run.fleet.job("entry-c2", job)["state"] == state,
                30,
                job,
            )
        assert "nearest backend" in run.fleet.job("entry-c2", huge)["reason"]
        wait_for(
            lambda: run.fleet.job("entry-b2", watcher)["tasks"][0]["attempt"] >= 3, 30, "watcher"
        )
        call("DELETE", f"{entry.url}/jobs/{watcher}")
        wait_for(lambda: run.fleet.job("entry-b2", watcher)["state"] == "cancelled", 30, "cancel")
        check_invalid_input(entry.url, entry.listen)
        assert run.breaches() == []


def check_invalid_input(url: str, address: str) -> None:
    cases = [
        ("POST", "/jobs", b"{", 400, "bad-json", ""),
        ("POST", "/jobs", b'{"name": "x", "tasks": -1}', 422, "bad-field", "tasks"),
        ("POST", "/jobs", b'{"name": "x", "colour": 1}', 422, "bad-field", "colour"),
        ("GET", "/jobs/none", None, 404, "no-such-job", "id"),
        ("GET", "/nowhere", None, 404, "no-such-path", "path"),
        ("GET", "/services/none/x", None, 404, "no-such-service", "service"),
        ("POST", "/config/check", b"[routing]\nspeed = 1", 422, "bad-config", "routing.speed"),
        ("POST", "/commands", b'{"text": "shwo x"}', 400, "bad-command", "shwo"),
        ("POST", "/commands", b"[]", 422, "bad-field", ""),
    ]
    for method, path, body, status, kind, field in cases:
        answer = call(method, f"{url}{path}", body)
        assert (answer.status, answer.json()["error"]) == (status, kind), (path, answer)
        assert answer.headers["Spoolcrank-Outcome"] == "not-run"
        assert not field or answer.json()["field"] == field
    headers = {"Spoolcrank-Deadline-Ms": "-5"}
    answer = call("POST", f"{url}/services/quotes/", b"x", headers)
    assert answer.json()["field"] == "Spoolcrank-Deadline-Ms"
    assert b" 413 " in send_raw(
        address, b"POST /jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 9999999\r\n\r\n"
    )
    assert b" 400 " in send_raw(
        address, b"POST /jobs HTTP/1.1\r\nHost: x\r\nContent-Length: abc\r\n\r\n"
    )
    assert b" 400 " in send_raw(address, b"NONSENSE\r\n\r\n")
    with socket.create_connection((address.split(":")[0], int(address.split(":")[1]))) as half:
        half.sendall(b"POST /jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n{")
        assert call("GET", f"{url}/health/live").status == 200


def test_all_invalid_settings_are_reported_together(capfd: pytest.CaptureFixture[str]) -> None:
    from spoolcrank.errors import SettingsError
    from spoolcrank.settings import check_entry

    with pytest.raises(SettingsError) as caught:
        check_entry(
            instance_id="",
            availability_zone="a",
            listen="nowhere",
            peer_listen="127.0.0.1:99999",
            log="http://127.0.0.1:1",
            instances="http://name:1",
        )
    for flag in ("--instance-id", "--listen", "--peer-listen", "--instances"):
        assert flag in str(caught.value)


def test_configuration_never_goes_back_and_reaches_a_new_instance_without_the_log() -> None:
    with Scenario() as run:
        urls = {name: process.url for name, process in run.fleet.entries.items()}
        toml = b"[routing]\ndeadline_ms = 1234.0\n"
        assert call("POST", f"{urls['entry-a1']}/config", toml).status == 200

        def versions() -> set[int]:
            return {call("GET", f"{run.entry(name).url}/config").json()["version"] for name in urls}

        wait_for(lambda: versions() == {1}, 14, "the configuration is not in force everywhere")
        run.fleet.log_fault("down")
        run.entry("entry-b1").kill()
        run.fleet.restart_entry("entry-b1")
        wait_for(lambda: run.fleet.is_ready("entry-b1"), 30, "not ready from its peers")
        assert versions() == {1}
        assert call("GET", f"{run.entry('entry-b1').url}/config").json()["toml"] == toml.decode()


def test_leaving_server_gets_no_new_work_and_its_tasks_resume_elsewhere() -> None:
    with Scenario() as run:
        size = {"processors": 8, "memory_mb": 1000}
        run.submit("entry-a1", name="move", tasks=6, size=size, payload={"run_s": 6})
        run.wait_running("entry-a1", 6)
        assert run.fleet.journal("backend-a1")["runs"]
        run.fleet.list_instance("backend-a1", {"state": "leaving"})
        wait_for(lambda: all(reports_drained(run, name) for name in run.fleet.entries), 5)
        drained_at = time.time()
        run.submit("entry-a1", name="late", tasks=6, size=size, payload={"run_s": 1})
        run.wait_ended("entry-a1")
        assert run.states("entry-a1") == ["finished", "finished"]
        runs = run.fleet.journal("backend-a1")["runs"]
        assert all(attempt["start"] < drained_at + START_DELAY_S for attempt in runs)
        assert any(attempt["how"] == "evicted" for attempt in runs)
        assert run.breaches() == []


def reports_drained(run: Scenario, name: str) -> bool:
    body = {"text": "show workers where instance=backend-a1"}
    rows = call("POST", f"{run.entry(name).url}/commands", body).json()["rows"]
    return bool(rows and rows[0]["drained"])


def test_restarted_instance_loads_a_snapshot_once_log_records_expired() -> None:
    with Scenario(retention_s=8.0) as run:
        old = run.submit("entry-a1", name="old", payload={"run_s": 0.2})
        run.wait_ended("entry-a1")
        log = f"{run.fleet.log.url}/streams/spoolcrank/records?from=0"
        wait_for(lambda: call("GET", log).json()["first"] > 2, 40, "nothing expired")
        run.entry("entry-c1").kill()
        run.fleet.restart_entry("entry-c1")
        wait_for(lambda: run.fleet.is_ready("entry-c1"), 30, "not ready")
        assert run.fleet.job("entry-c1", old)["state"] == "finished"
