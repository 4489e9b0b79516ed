"""Demo: a Turnos deployment with six entry instances answers searches and one action, then shuts down."""

import shutil
import statistics
import sys
import tempfile
import os

from fleet import ROOT, Fleet

QUERIES_PER_KIND = 60
KINDS = ["roster", "name", "schedule"]


def quantile(values, rank):
    """Returns the value at a rank between 0 and 1 of the sorted values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(rank * len(ordered)))]


def run_queries(fleet):
    """Returns the times of the successful queries in milliseconds, their coverages, and one text per failed query."""
    elapsed, coverages, failures = [], [], []
    for number in range(QUERIES_PER_KIND):
        for kind in KINDS:
            entry = fleet.entries[number % len(fleet.entries)]
            status, _, answer = fleet.search(entry, kind, f"duty {number % 20}")
            if status != 200:
                failures.append(f"{kind} at {entry['id']}: status {status}, {answer}")
                continue
            elapsed.append(answer["cost"]["elapsed_us"] / 1000)
            coverages.append(answer["coverage"]["fraction"])
            if number < 2:
                best = answer["results"][0]
                print(
                    f"{entry['id']} {kind}: snapshot={answer['snapshot']} documents={answer['coverage']['documents']}"
                    f"/{answer['coverage']['documents_total']} best='{best['text']}' score={best['score']}"
                    f" sub_requests={answer['cost']['sub_requests']} elapsed_us={answer['cost']['elapsed_us']}"
                )
    return elapsed, coverages, failures


def run_action(fleet, failures):
    """Sends the same action to two instances. It must run once, and the second answer must be a replay of the first."""
    first = fleet.send_action(fleet.entries[0], "swap", "swap monday gate and yard", "demo-swap-1")
    again = fleet.send_action(fleet.entries[1], "swap", "swap monday gate and yard", "demo-swap-1")
    runs = fleet.action_runs().get("turnos/demo-swap-1", 0)
    print(f"swap: status={first[0]} outcome='{first[2].get('outcome')}'; repeated elsewhere: replayed={again[2].get('replayed')}; runs={runs}")
    if first[0] != 200 or again[0] != 200 or not again[2].get("replayed") or runs != 1:
        failures.append(f"swap: {first} {again} runs={runs}")


def main():
    work_dir = tempfile.mkdtemp(prefix="ragwort-demo-")
    fleet = Fleet(os.path.join(ROOT, "examples/turnos-fleet.ini"), os.path.join(ROOT, "examples/turnos-questionnaire.ini"), work_dir)
    try:
        fleet.start()
        print(fleet.ctl("status").stdout, end="")
        elapsed, coverages, failures = run_queries(fleet)
        run_action(fleet, failures)
    except Exception as error:  # The processes must be stopped after any error.
        elapsed, coverages, failures = [], [], [repr(error)]
    failures += [f"did not stop cleanly: {line}" for line in fleet.stop()]
    for failure in failures:
        print("fault: " + failure, file=sys.stderr)
    if failures or not elapsed:
        print(f"demo: failed, logs in {work_dir}")
        return 1
    shutil.rmtree(work_dir)
    coverage = statistics.mean(coverages)
    print(f"demo: ok queries={len(elapsed)} coverage={coverage:.4f} p50_ms={quantile(elapsed, 0.5):.1f} p99_ms={quantile(elapsed, 0.99):.1f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
