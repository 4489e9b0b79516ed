"""What the whole-program checks share: a fleet per check, and a verdict per process."""

import os
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "utils"))

from fleet import ROOT, Fleet  # noqa: E402

TURNOS_FLEET = os.path.join(ROOT, "examples/turnos-fleet.ini")
TURNOS_QUESTIONNAIRE = os.path.join(ROOT, "examples/turnos-questionnaire.ini")


def turnos(port_shift, **options):
    """A Turnos deployment in a new folder; every check has its own ports."""
    return Fleet(TURNOS_FLEET, TURNOS_QUESTIONNAIRE, tempfile.mkdtemp(prefix="ragwort-check-"), port_shift=port_shift, **options)


class Verdict:
    """Collects what did not hold; the check fails if anything did not."""

    def __init__(self):
        self.faults = []

    def expect(self, condition, text):
        print(("ok: " if condition else "FAILED: ") + text, flush=True)
        if not condition:
            self.faults.append(text)

    def close(self, fleet):
        """Stops the fleet and returns the exit code."""
        for line in fleet.stop():
            self.expect(False, "stops cleanly: " + line)
        if self.faults:
            print(f"{len(self.faults)} expectations failed, logs in {fleet.work_dir}")
        return 1 if self.faults else 0


def run(body, port_shift, **options):
    """Runs \\p body(fleet, verdict) on a started fleet and exits with its verdict."""
    verdict = Verdict()
    fleet = turnos(port_shift, **options)
    try:
        fleet.start()
        body(fleet, verdict)
    except Exception as error:  # The processes must be stopped whatever went wrong.
        verdict.expect(False, repr(error))
    sys.exit(verdict.close(fleet))
