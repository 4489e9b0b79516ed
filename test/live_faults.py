"""The worst cells of the fault matrix against real processes: kill, freeze, silence, crash content, store outage."""

import json
import os
import signal
import threading
import time

import check
from fleet import http


def crashing_content(fleet, verdict):
    """Content that crashes servers, sent again and again to every instance."""
    answers = [fleet.search(fleet.entries[number % 6], "roster", "crash-me now") for number in range(12)]
    crashes = sum(server["crashes"] for server in fleet.backend_counts())
    verdict.expect(crashes <= 2, f"one content cost {crashes} servers")
    verdict.expect(crashes == 2, "the fault struck")
    verdict.expect(answers[-1][0] == 422 and answers[-1][2]["run"] == "not-run", "the content is barred and not run")
    time.sleep(3)


def silent_connections(fleet, verdict):
    """All connections of a third of the servers go silent for good; new ones work."""
    fleet.order("/fake/faults", {"match": "norte-b", "silence": True})
    answers = [fleet.search(fleet.entries[number % 6], "roster", f"known {number % 10}", deadline_ms=900) for number in range(60)]
    verdict.expect(all(answer[0] == 200 for answer in answers), "every search is answered over silent connections")
    full = sum(1 for answer in answers if answer[2].get("coverage", {}).get("fraction") == 1.0)
    print(f"full answers over silent connections: {full} of {len(answers)}")
    later = [fleet.search(fleet.entries[number % 6], "roster", f"known {number % 10}", deadline_ms=900) for number in range(30)]
    verdict.expect(all(answer[2]["coverage"]["fraction"] == 1.0 for answer in later), "silent connections are replaced")


def store_outage(fleet, verdict):
    """Searches go on without the store; actions are refused as not run, and run once afterwards."""
    fleet.platform_order("/fake/faults", {"outage": True})
    time.sleep(4)
    searches = [fleet.search(entry, "roster", "known 1") for entry in fleet.entries]
    verdict.expect(all(answer[0] == 200 and answer[2]["coverage"]["fraction"] == 1.0 for answer in searches), "searches go on in full without the store")
    refused = fleet.act(fleet.entries[0], "swap", "swap in outage", "outage-1", deadline_ms=700)
    verdict.expect(refused[0] == 503 and refused[2]["run"] == "not-run", f"an action is refused as not run: {refused[2]['reason']}")
    verdict.expect("turnos/outage-1" not in fleet.action_runs(), "it really did not run")
    fleet.platform_order("/fake/faults", {"outage": False})
    time.sleep(2)
    again = fleet.act(fleet.entries[1], "swap", "swap in outage", "outage-1")
    verdict.expect(again[0] == 200 and fleet.action_runs()["turnos/outage-1"] == 1, f"afterwards it runs once: {again[2]}")


def lost_answers(fleet, verdict):
    """The store's answers to writes are lost after they took effect."""
    for number in range(10):
        fleet.platform_order("/fake/faults", {"lose_write_answers": 1})
        answer = fleet.act(fleet.entries[number % 6], "swap", f"lost {number}", f"lost-{number}")
        verdict.expect(answer[0] == 200, f"action {number} with a lost answer: {answer[0]} {answer[2].get('reason')}")
    time.sleep(1)  # The outcomes of the actions are recorded by then, so that the lost answers are the operator's.
    fleet.platform_order("/fake/faults", {"lose_write_answers": 2})
    out = fleet.ctl("instance", "out", "reportes-0-0")
    verdict.expect(out.returncode == 0 and "settled by reading back" in out.stdout, "a lost answer to a change is settled: " + out.stdout.strip())
    fleet.ctl("instance", "in", "reportes-0-0")


def killed_and_frozen(fleet, verdict):
    """One instance killed, one frozen and thawed, while actions with the same keys go to others."""
    frozen = fleet.entries[2]
    os.kill(fleet.processes[frozen["id"]].pid, signal.SIGSTOP)
    fleet.kill_process("entry-1")
    others = [fleet.entries[0], fleet.entries[3], fleet.entries[4], fleet.entries[5]]
    answers = [fleet.search(others[number % 4], "roster", f"known {number % 10}") for number in range(40)]
    verdict.expect(all(answer[0] == 200 and answer[2]["coverage"]["fraction"] == 1.0 for answer in answers), "the others answer in full")
    results = []
    # The frozen instance's kernel accepts the connection; the request waits there until it thaws.
    waiting = threading.Thread(target=lambda: results.append(fleet.act(frozen, "swap", "swap frozen", "frozen-1", deadline_ms=1500)))
    waiting.start()
    time.sleep(0.3)
    elsewhere = fleet.act(others[0], "swap", "swap frozen", "frozen-1")
    os.kill(fleet.processes[frozen["id"]].pid, signal.SIGCONT)
    waiting.join()
    verdict.expect(elsewhere[0] == 200, "the action runs at another instance")
    verdict.expect(fleet.action_runs()["turnos/frozen-1"] == 1, "and only once, although the frozen one thaws")
    print("the thawed instance says", results[0][0], results[0][2].get("reason"), results[0][2].get("replayed"))
    fleet.start_entry(fleet.entries[1])
    fleet.await_ready([fleet.entries[1]])
    verdict.expect(fleet.search(fleet.entries[1], "roster", "known 1")[0] == 200, "the killed instance comes back and serves")


def body(fleet, verdict):
    for number in range(60):
        fleet.search(fleet.entries[number % 6], "roster", f"known {number % 10}")
    for part in [crashing_content, silent_connections, store_outage, lost_answers, killed_and_frozen]:
        print("-- " + part.__name__)
        part(fleet, verdict)
    verdict.expect(all(count == 1 for count in fleet.action_runs().values()), "no action ran twice")
    counts = json.loads(http(fleet.control, "/fake/counts")[2])
    verdict.expect(all(server["most_connections"] <= (25 if server["group"] in ("coordinador", "avisos") else 100) for server in counts), "connection limits held")
    verdict.expect(sum(server["refused_connections"] for server in counts) == 0, "no server had to refuse a connection")


if __name__ == "__main__":
    check.run(body, port_shift=6000)
