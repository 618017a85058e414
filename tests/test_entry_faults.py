"""Faults on a fleet of real processes.

At the end of each test the journals of the backend servers are compared with the answers that the
callers received. The tests guard against work that is lost or runs twice when an owner is killed,
paused, partitioned or stopped, when the log fails, and when connections are cut.
"""

import time

from bench.proxy import Fault, Rule
from tests.scenario import Scenario, call, signal, wait_for

PAST_LEASE_S = 9.0
"""Time for which an owner stays paused after its server has a new owner, seconds: longer than its
leases."""

OUTAGE_S = 12.0
"""Time for which the log is down or a zone is partitioned, seconds."""


def test_kill_of_an_owner_moves_its_servers_and_repeats_nothing() -> None:
    with Scenario() as run:
        run.start_load()
        run.submit_mixed_jobs("entry-b1", run_s=8)
        run.wait_running("entry-b1", 15)
        owner = run.owner_of("backend-a1")
        run.entry(owner).kill()
        successor = run.wait_new_owner("backend-a1", owner)
        assert successor.startswith("entry-a")
        run.wait_ended("entry-b1")
        assert run.states("entry-b1") == ["finished", "finished"]
        assert run.breaches() == []


def test_owner_paused_past_its_leases_does_no_harm_when_it_wakes() -> None:
    with Scenario() as run:
        run.start_load(["entry-b1", "entry-c1"])
        run.submit_mixed_jobs("entry-b1", run_s=15)
        run.wait_running("entry-b1", 15)
        owner = run.owner_of("backend-a1")
        run.entry(owner).signal(signal.SIGSTOP)
        successor = run.wait_new_owner("backend-a1", owner)
        time.sleep(PAST_LEASE_S)
        run.entry(owner).signal(signal.SIGCONT)
        run.wait_ended("entry-b1", 90)
        assert run.breaches() == []
        assert successor.startswith("entry-a")
        assert run.states("entry-b1") == ["finished", "finished"]
        wait_for(lambda: run.fleet.is_ready(owner), 20, "the woken owner did not come back")


def test_owner_killed_while_the_log_is_down_is_replaced() -> None:
    with Scenario() as run:
        run.start_load(["entry-b1", "entry-c1", "entry-c2"])
        run.submit_mixed_jobs("entry-b1", run_s=8)
        run.wait_running("entry-b1", 15)
        run.fleet.log_fault("down")
        owner = run.owner_of("backend-a1")
        run.entry(owner).kill()
        successor = run.wait_new_owner("backend-a1", owner)
        assert successor.startswith("entry-a")
        refused = call("POST", f"{run.entry('entry-b1').url}/jobs", {"name": "late"})
        assert refused.status == 503
        assert refused.headers["Spoolcrank-Outcome"] == "not-run"
        time.sleep(OUTAGE_S)
        run.fleet.log_fault("ok")
        run.wait_ended("entry-b1")
        assert run.states("entry-b1") == ["finished", "finished"]
        assert run.breaches() == []


def test_lost_append_answers_cause_no_second_run() -> None:
    with Scenario() as run:
        run.fleet.log_fault("lose-answers", rate=0.3)
        run.start_load(keyed_share=0.5)
        run.submit_mixed_jobs("entry-b1", run_s=1)
        run.submit_mixed_jobs("entry-c1", run_s=1)
        run.wait_ended("entry-b1", 90)
        assert run.states("entry-b1") == ["finished"] * 4
        assert run.breaches() == []


def test_zone_cut_off_goes_on_and_meets_the_others_again() -> None:
    with Scenario(proxied=True) as run:
        run.start_load()
        run.submit_mixed_jobs("entry-b1", run_s=10)
        run.wait_running("entry-b1", 15)
        for near in ("entry-a1", "entry-a2"):
            for far in ("entry-b1", "entry-b2", "entry-c1", "entry-c2"):
                run.proxy.set(near, far, Rule(Fault.BLACKHOLE))
                run.proxy.set(far, near, Rule(Fault.BLACKHOLE))
            run.proxy.set(near, "log", Rule(Fault.BLACKHOLE))
            run.proxy.set(near, "instances", Rule(Fault.BLACKHOLE))
        time.sleep(OUTAGE_S)
        answer = call("POST", f"{run.entry('entry-a1').url}/services/quotes/", b"cut off")
        assert answer.status == 200
        assert run.owner_of("backend-a1").startswith("entry-a")
        run.proxy.heal()
        run.wait_ended("entry-b1", 60)
        assert run.states("entry-b1") == ["finished", "finished"]
        assert run.breaches() == []


def test_rolling_stop_of_all_entry_instances_loses_nothing() -> None:
    with Scenario() as run:
        run.submit_mixed_jobs("entry-b1", run_s=20)
        run.wait_running("entry-b1", 15)
        kept_entries = ["entry-b1", "entry-c1"]
        run.start_load(kept_entries, keyed_share=0.0)
        for name in ("entry-a1", "entry-a2", "entry-b2", "entry-c2"):
            assert run.entry(name).stop() == 0
            run.fleet.restart_entry(name)
            wait_for(lambda name=name: run.fleet.is_ready(name), 30, f"{name} not ready")
        report = run.stop_load()
        assert {request.outcome for request in report.request_results} == {"ok"}
        run.wait_ended("entry-b1", 60)
        assert run.breaches() == []


def test_requests_in_flight_at_a_planned_stop_get_their_answers() -> None:
    with Scenario() as run:
        for name in ("entry-a1", "entry-b1", "entry-c1"):
            run.start_load([name], keyed_share=0.0, rate=40.0)
            time.sleep(1.0)
            run.entry(name).signal(signal.SIGTERM)
            wait_for(lambda name=name: not run.fleet.is_ready(name), 10, "still ready")
            report = run.stop_load()
            run._stop.clear()
            assert {request.outcome for request in report.request_results} == {"ok"}
            assert run.entry(name).popen.wait(30) == 0
            run.fleet.restart_entry(name)
            wait_for(lambda name=name: run.fleet.is_ready(name), 30, f"{name} not ready")


def test_answer_cut_midway_gives_no_partial_answer_and_no_false_not_run() -> None:
    with Scenario(proxied=True) as run:
        run.start_load()
        time.sleep(1.0)
        for fault in (Fault.MID_ANSWER, Fault.HALF_CLOSE, Fault.ONE_WAY, Fault.CUT):
            run.proxy.set("*", "backend-a1", Rule(fault))
            time.sleep(2.0)
            run.proxy.heal()
            time.sleep(1.0)
        run.proxy.set("*", "backend-b1", Rule(delay_s=0.4))
        time.sleep(2.0)
        run.proxy.heal()
        report = run.stop_load()
        assert run.breaches() == []
        assert len(report.answered) > 0.6 * len(report.request_results)


def test_idempotency_key_runs_once_on_all_instances_and_after_its_holder_dies() -> None:
    with Scenario() as run:
        urls = [process.url for process in run.fleet.entries.values()]
        headers = {"Idempotency-Key": "notice-1", "Spoolcrank-Repeatable": "no"}
        first = call("POST", f"{urls[0]}/services/quotes/", b"one", headers)
        assert first.status == 200
        for url in urls:
            again = call("POST", f"{url}/services/quotes/", b"one", headers)
            assert again.body == first.body
        run.fleet.entries["entry-a1"].kill()
        again = call("POST", f"{urls[3]}/services/quotes/", b"one", headers)
        assert again.body == first.body
        run.start_load(["entry-b1"], keyed_share=1.0)
        time.sleep(1.0)
        run.entry("entry-b1").kill()
        run.stop_load()
        keys = [request.key for request in run.report.request_results if request.outcome != "ok"][
            :5
        ]
        for key in keys:
            headers = {"Idempotency-Key": key, "Spoolcrank-Deadline-Ms": "500"}
            call("POST", f"{urls[3]}/services/quotes/", b"again", headers)
        assert run.breaches() == []


def test_caller_that_keeps_sending_during_a_planned_stop_is_refused_but_never_cut() -> None:
    with Scenario() as run:
        for name in ("entry-a1", "entry-b1"):
            run.start_load([name], keyed_share=0.0, rate=40.0)
            time.sleep(1.0)
            assert run.entry(name).stop() == 0
            report = run.stop_load()
            run._stop.clear()
            outcomes = {request.outcome for request in report.request_results}
            assert outcomes <= {"ok", "leaving", "ConnectionRefusedError"}, outcomes
