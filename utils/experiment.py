"""Runs experiments on emulated deployments: stragglers, overload, and a failure domain taken out."""

import argparse
import os
import sys
import tempfile
import threading
import time

from fleet import ROOT, Fleet

URGENT = {"turnos": ["roster", "name"], "ishikari": ["history", "residue"]}
ORDINARY = {"turnos": "schedule", "ishikari": "certificate"}
BATCH = {"turnos": ("report", "reportes"), "ishikari": ("ledger", "recon-batch")}
# Policies of the baseline, inserted into each group of the questionnaire.
BASELINE_POLICIES = "balance = random\nhedge = none\ncanary = none\n"
DEADLINE_MS = 500


def make_fleet(options):
    """Returns a fleet of the deployment. The baseline configuration uses random balancing without hedges and canaries."""
    work_dir = tempfile.mkdtemp(prefix="ragwort-experiment-")
    questionnaire = os.path.join(ROOT, f"examples/{options.deployment}-questionnaire.ini")
    if options.policies == "baseline":
        with open(questionnaire) as file:
            text = file.read().replace("bears_when_cold", BASELINE_POLICIES + "bears_when_cold")
        questionnaire = os.path.join(work_dir, "questionnaire.ini")
        with open(questionnaire, "w") as file:
            file.write(text)
    return Fleet(os.path.join(ROOT, f"examples/{options.deployment}-fleet.ini"), questionnaire, work_dir)


def kinds(options, rate):
    names = URGENT[options.deployment] + [ORDINARY[options.deployment]]
    return {name: (rate, DEADLINE_MS, "distinct_texts = 300\n") for name in names}


def print_section(title, text):
    print(f"--- {title}\n{text}", flush=True)


def stragglers(fleet, options):
    """Measures the latency without faults, then with slow answers and slow servers. Each measurement follows a warm-up load."""
    load = lambda length, seed: fleet.run_load(fleet.experiment_text(kinds(options, options.rate), length, seed=seed), json_output=False)
    load(8, options.seed + 100)
    print_section("plain", load(options.length, options.seed))
    fleet.send_backend_command("/fake/faults", {"match": "*", "straggler_share": 0.01})
    fleet.send_backend_command("/fake/faults", {"match": "*", "every": 20, "slow_factor": 5.0})
    load(5, options.seed + 101)
    print_section("1% of answers ten times slower, one server in twenty five times slower", load(options.length, options.seed))


def overload(fleet, options):
    """Sends one urgent kind at the given rate, at 2 and 10 times that rate, and at the given rate again, with a batch kind beside it."""
    urgent = URGENT[options.deployment][0]
    batch = BATCH[options.deployment][0]
    for factor in [1, 2, 10, 1]:
        load = {
            urgent: (options.rate * factor, DEADLINE_MS, "distinct_texts = 300\n"),
            batch: (10 * factor, 5000, "distinct_texts = 50\n"),
        }
        print_section(f"{options.rate * factor} queries a second", fleet.run_load(fleet.experiment_text(load, options.length, seed=options.seed), json_output=False))


def domain_out(fleet, options):
    """Takes a failure domain out 6 s after the start of the load and back in about 10 s later."""
    windows = "[window.before]\nfrom = 1s\nto = 6s\n[window.out-0-5s]\nfrom = 6s\nto = 11s\n[window.out-5s-on]\nfrom = 11s\nto = 16s\n[window.back]\nfrom = 16s\nto = 22s\n"
    fleet.run_load(fleet.experiment_text(kinds(options, options.rate), 5, seed=options.seed + 100))
    domain = fleet.entries[0]["domain"]
    load = threading.Thread(target=lambda: print_section("a domain out and back", fleet.run_load(fleet.experiment_text(kinds(options, options.rate), 22, windows, options.seed), json_output=False)))
    load.start()
    time.sleep(6)
    print(fleet.ctl("--wait", "domain", "out", domain).stdout)
    time.sleep(10)
    print(fleet.ctl("--wait", "domain", "in", domain).stdout)
    load.join()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("experiment", choices=["stragglers", "overload", "domain-out"])
    parser.add_argument("--deployment", choices=["turnos", "ishikari"], default="turnos")
    parser.add_argument("--policies", choices=["default", "baseline"], default="default")
    parser.add_argument("--rate", type=int, default=40, help="queries per second of each kind")
    parser.add_argument("--length", type=int, default=20, help="duration of each measurement in seconds")
    parser.add_argument("--seed", type=int, default=3)
    options = parser.parse_args()
    with make_fleet(options) as fleet:
        fleet.start()
        {"stragglers": stragglers, "overload": overload, "domain-out": domain_out}[options.experiment](fleet, options)
    return 0


if __name__ == "__main__":
    sys.exit(main())
