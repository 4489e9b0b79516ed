"""The checks of the soak notice what they are for."""

import types
import unittest

from promises import Promises
from stand_in import records_of, signature


class PromisesTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.promises = Promises(lambda: self.now)
        self.promises.violate = self.promises.broken.append
        self.promises.versions = [({"s0", "s1", "s2"}, 0.0)]

    def ask(self, request_id="r1", kind="gather", target="/g/r1"):
        self.promises.note_asked(request_id, kind, target, 1500)

    def run_at(self, server="s0-0-1", request_id="r1", target="/g/r1", deadline_ms=1400):
        backend = types.SimpleNamespace(server_id=server)
        request = types.SimpleNamespace(path_qs=target, headers={"X-Deadline-Ms": str(deadline_ms)})
        self.promises.note_run(backend, request, request_id, False)

    def answer(self, status=200, services=("s0", "s1", "s2"), missing=0, body=None, stamps=None, sent_at=None, instance="e0#1"):
        if body is None:
            records = sorted((record for service in services for record in records_of(service, "/g/r1")), reverse=True)
            body = b"".join(records[:5])
        stamps = stamps or ", ".join(signature(service, f"{service}-0-1", "r1") for service in services)
        headers = {"X-Part-Stamps": stamps, "X-Missing-Parts": str(missing)}
        self.promises.note_answer("r1", instance, status, headers, body, self.now if sent_at is None else sent_at)

    def broken(self):
        return len(self.promises.broken)

    def test_a_good_course_breaks_nothing(self):
        self.ask()
        self.run_at()
        self.answer()
        self.assertEqual(self.promises.broken, [])

    def test_what_nobody_asked_or_was_changed(self):
        self.run_at()
        self.assertEqual(self.broken(), 1)
        self.ask()
        self.run_at(target="/g/other")
        self.assertEqual(self.broken(), 2)

    def test_a_request_that_may_run_once_runs_twice(self):
        self.ask(kind="once")
        self.run_at()
        self.run_at(server="s1-0-1")
        self.assertEqual(self.broken(), 1)

    def test_not_run_was_not_true(self):
        self.ask(kind="once")
        self.run_at()
        self.answer(status=503)
        self.assertEqual(self.broken(), 1)
        self.ask("r2")
        self.promises.said_not_run.add("r2")
        self.run_at(request_id="r2")
        self.assertEqual(self.broken(), 2)

    def test_a_server_is_given_more_time_than_is_left(self):
        self.ask()
        self.run_at(deadline_ms=2100)
        self.assertEqual(self.broken(), 1)

    def test_a_server_that_left_is_used(self):
        self.ask()
        self.promises.leaving["s0-0-1"] = self.now - 3.5
        self.run_at()
        self.assertEqual(self.broken(), 1)

    def test_parts_that_are_no_answer_or_come_twice(self):
        self.ask()
        self.answer(stamps="s0.s0-0-1.r9.00000000")
        self.answer(services=("s0", "s0"), missing=1)
        self.assertEqual(self.broken(), 2)

    def test_a_set_that_no_version_names(self):
        self.ask()
        self.answer(services=("s0", "s1"), missing=2)
        self.assertEqual(self.broken(), 1)

    def test_too_few_parts_and_wrong_records(self):
        self.ask()
        self.answer(services=("s0",), missing=2)
        self.answer(body=b"x" * 80)
        self.assertEqual(self.broken(), 2)

    def test_an_old_version_long_after_a_new_one(self):
        self.ask()
        self.promises.versions.append(({"s3", "s4", "s5"}, self.now - 4.0))
        self.answer()
        self.assertEqual(self.broken(), 1)

    def test_an_instance_goes_back(self):
        self.promises.versions.append(({"s3", "s4", "s5"}, self.now - 1.0))
        self.ask()
        self.answer(services=("s3", "s4", "s5"))
        self.now += 0.5
        self.answer()
        self.assertEqual(self.broken(), 1)
        self.answer(instance="e0#2")
        self.assertEqual(self.broken(), 1)


if __name__ == "__main__":
    unittest.main()
