"""End-to-end tests with real processes, including invalid input."""

import socket
import time

import pytest

from tests.scenario import Scenario, call, wait_for

IN_FLIGHT_START_S = 0.5


def send_raw(address: str, data: bytes) -> bytes:
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        sock.sendall(data)
        return sock.recv(65536)


def test_services_and_jobs_of_all_classes_and_bad_input() -> None:
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
    with socket.create_connection(
        (address.split(":")[0], int(address.split(":")[1]))
    ) as incomplete_request:
        incomplete_request.sendall(b"POST /jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n{")
        assert call("GET", f"{url}/health/live").status == 200


def test_wrong_settings_are_all_named_at_once(capfd: pytest.CaptureFixture[str]) -> None:
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

        wait_for(
            lambda: versions() == {1}, 14, "configuration not in force on every entry instance"
        )
        run.fleet.log_fault("down")
        run.entry("entry-b1").kill()
        run.fleet.restart_entry("entry-b1")
        wait_for(
            lambda: run.fleet.is_ready("entry-b1"), 30, "entry instance not ready without the log"
        )
        assert versions() == {1}
        assert call("GET", f"{run.entry('entry-b1').url}/config").json()["toml"] == toml.decode()


def test_leaving_server_gets_no_new_work_and_its_batch_resumes_elsewhere() -> None:
    with Scenario() as run:
        size = {"processors": 8, "memory_mb": 1000}
        run.submit("entry-a1", name="move", tasks=6, size=size, payload={"run_s": 6})
        run.wait_running("entry-a1", 6)
        assert run.fleet.journal("backend-a1")["runs"]
        run.fleet.list_instance("backend-a1", {"state": "leaving"})
        wait_for(lambda: all(sees_drained(run, name) for name in run.fleet.entries), 5)
        seen_at = time.time()
        run.submit("entry-a1", name="late", tasks=6, size=size, payload={"run_s": 1})
        run.wait_ended("entry-a1")
        assert run.states("entry-a1") == ["finished", "finished"]
        runs = run.fleet.journal("backend-a1")["runs"]
        assert all(attempt["start"] < seen_at + IN_FLIGHT_START_S for attempt in runs)
        assert any(attempt["how"] == "evicted" for attempt in runs)
        assert run.breaches() == []


def sees_drained(run: Scenario, name: str) -> bool:
    body = {"text": "show workers where instance=backend-a1"}
    rows = call("POST", f"{run.entry(name).url}/commands", body).json()["rows"]
    return bool(rows and rows[0]["drained"])


def test_new_instance_starts_from_a_snapshot_after_retention() -> None:
    with Scenario(retention_s=8.0) as run:
        old = run.submit("entry-a1", name="old", payload={"run_s": 0.2})
        run.wait_ended("entry-a1")
        log = f"{run.fleet.log.url}/streams/spoolcrank/records?from=0"
        wait_for(lambda: call("GET", log).json()["first"] > 2, 40, "no log record expired")
        run.entry("entry-c1").kill()
        run.fleet.restart_entry("entry-c1")
        wait_for(
            lambda: run.fleet.is_ready("entry-c1"), 30, "entry instance not ready after its restart"
        )
        assert run.fleet.job("entry-c1", old)["state"] == "finished"
