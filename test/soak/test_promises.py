"""Tests that the invariant checks of the soak test detect violations."""

import asyncio
import math
import types
import unittest

from promises import STORE, InvariantChecker
from stand_in import Store, expected_records, signature


class InvariantCheckerTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.checker = InvariantChecker(lambda: self.now)
        self.checker.report_violation = self.checker.violations.append
        self.checker.versions = [({"s0", "s1", "s2"}, 0.0)]

    def send_request(self, request_id="r1", kind="gather", target="/g/r1"):
        self.checker.record_request(request_id, kind, target, 1500)

    def run_at(self, server="s0-0-1", request_id="r1", target="/g/r1", deadline_ms=1400, senders=()):
        backend = types.SimpleNamespace(server_id=server)
        request = types.SimpleNamespace(path_qs=target, headers={"X-Deadline-Ms": str(deadline_ms)})
        self.checker.record_run(backend, request, request_id, False, senders=senders)

    def disturb(self, name, before_s):
        """Disturbs the store or an instance until some seconds before now."""
        self.now -= before_s
        self.checker.begin_disturbance(name)
        self.checker.end_disturbance(name)
        self.now += before_s

    def probe(self, version, status, sent_at=None, instance="e0#1"):
        self.checker.record_probe("r1", instance, version, status, self.now if sent_at is None else sent_at)

    def answer(self, status=200, services=("s0", "s1", "s2"), missing=0, body=None, stamps=None, sent_at=None, instance="e0#1"):
        if body is None:
            records = sorted((record for service in services for record in expected_records(service, "/g/r1")), reverse=True)
            body = b"".join(records[:5])
        stamps = stamps or ", ".join(signature(service, f"{service}-0-1", "r1") for service in services)
        headers = {"X-Part-Stamps": stamps, "X-Missing-Parts": str(missing)}
        self.checker.record_answer("r1", instance, status, headers, body, self.now if sent_at is None else sent_at)

    def violation_count(self):
        return len(self.checker.violations)

    def test_valid_run_reports_no_violation(self):
        self.send_request()
        self.run_at()
        self.answer()
        self.assertEqual(self.checker.violations, [])

    def test_unknown_request_and_changed_target_are_violations(self):
        self.run_at()
        self.assertEqual(self.violation_count(), 1)
        self.send_request()
        self.run_at(target="/g/other")
        self.assertEqual(self.violation_count(), 2)

    def test_repeated_run_of_unsafe_request_is_a_violation(self):
        self.send_request(kind="once")
        self.run_at()
        self.run_at(server="s1-0-1")
        self.assertEqual(self.violation_count(), 1)

    def test_run_before_or_after_not_run_answer_is_a_violation(self):
        self.send_request(kind="once")
        self.run_at()
        self.answer(status=503)
        self.assertEqual(self.violation_count(), 1)
        self.send_request("r2")
        self.checker.reported_not_run.add("r2")
        self.run_at(request_id="r2")
        self.assertEqual(self.violation_count(), 2)

    def test_server_deadline_beyond_caller_deadline_is_a_violation(self):
        self.send_request()
        self.run_at(deadline_ms=2100)  # More than the caller's 1500 ms and the slack of 500 ms.
        self.assertEqual(self.violation_count(), 1)

    def test_delays_are_told_and_excuse_nothing(self):
        self.send_request()
        backend = types.SimpleNamespace(server_id="s0-0-1")
        request = types.SimpleNamespace(path_qs="/g/r1", headers={"X-Deadline-Ms": "2100"})
        self.checker.record_run(backend, request, "r1", False, "event loop delayed by 700 ms")
        self.assertEqual(self.violation_count(), 1)
        self.assertIn("event loop delayed by 700 ms", self.checker.violations[0])

    def test_request_to_removed_server_is_a_violation(self):
        self.send_request()
        self.checker.leaving["s0-0-1"] = self.now - 3.5
        self.run_at()
        self.assertEqual(self.violation_count(), 1)

    def test_requests_during_a_pause_are_violations(self):
        self.checker.record_pause("s0-0-1", "e0#1", 2)
        self.now += 0.4
        for _ in range(5):
            self.checker.record_arrival("s0-0-1", "e0#1", "r1", self.now)
        self.now += 0.4
        for _ in range(2):
            self.checker.record_arrival("s0-0-1", "e0#1", "r1", self.now)
        self.checker.record_arrival("s0-0-1", "e1#1", "r1", self.now)
        self.assertEqual(self.checker.violations, [])
        self.checker.record_arrival("s0-0-1", "e0#1", "r1", self.now)
        self.assertEqual(self.violation_count(), 1)
        self.now += 2.0
        self.checker.record_arrival("s0-0-1", "e0#1", "r1", self.now)
        self.assertEqual(self.violation_count(), 1)

    def test_request_to_a_server_that_told_that_it_leaves_is_a_violation(self):
        self.checker.record_leaving("s0-0-1", "e0#1")
        self.now += 2.9
        self.checker.record_arrival("s0-0-1", "e0#1", "r1", self.now)
        self.assertEqual(self.checker.violations, [])
        self.now += 0.2
        self.checker.record_arrival("s0-0-1", "e0#2", "r1", self.now)
        self.checker.record_arrival("s0-0-1", "e0#1", "r1", self.now)
        self.assertEqual(self.violation_count(), 1)

    def test_invalid_and_duplicate_parts_are_violations(self):
        self.send_request()
        self.answer(stamps="s0.s0-0-1.r9.00000000")
        self.answer(services=("s0", "s0"), missing=1)
        self.assertEqual(self.violation_count(), 2)

    def test_shard_set_of_no_version_is_a_violation(self):
        self.send_request()
        self.answer(services=("s0", "s1"), missing=2)
        self.assertEqual(self.violation_count(), 1)

    def test_insufficient_parts_and_wrong_records_are_violations(self):
        self.send_request()
        self.answer(services=("s0",), missing=2)
        self.answer(body=b"x" * 80)
        self.assertEqual(self.violation_count(), 2)

    def test_outdated_version_is_a_violation(self):
        self.send_request()
        self.checker.versions.append(({"s3", "s4", "s5"}, self.now - 4.0))
        self.answer()
        self.assertEqual(self.violation_count(), 1)

    def test_version_downgrade_of_an_instance_is_a_violation(self):
        self.checker.versions.append(({"s3", "s4", "s5"}, self.now - 1.0))
        self.send_request()
        self.answer(services=("s3", "s4", "s5"))
        self.now += 0.5
        self.answer()
        self.assertEqual(self.violation_count(), 1)
        self.answer(instance="e0#2")
        self.assertEqual(self.violation_count(), 1)

    def test_outdated_version_beside_faults_elsewhere_is_a_violation(self):
        self.send_request()
        self.checker.versions.append(({"s3", "s4", "s5"}, self.now - 3.1))
        self.checker.last_fault = self.now
        self.disturb("e1", 0.5)
        self.disturb("e0", 4.1)
        self.disturb(STORE, 4.1)
        self.answer()
        self.assertEqual(self.violation_count(), 1)

    def test_outdated_version_is_excused_after_a_disturbance_of_the_store_or_the_instance(self):
        for name in (STORE, "e0"):
            self.setUp()
            self.send_request()
            self.checker.versions.append(({"s3", "s4", "s5"}, self.now - 60.0))
            self.checker.last_fault = self.now
            self.disturb(name, 3.9)
            self.answer()
            self.assertEqual(self.checker.violations, [])
            self.checker.begin_disturbance(name)
            self.now += 10.0
            self.checker.last_fault = self.now
            self.answer()
            self.assertEqual(self.checker.violations, [])
            self.checker.end_disturbance(name)
            self.now += 4.1
            self.answer()
            self.assertEqual(self.violation_count(), 1)

    def test_overlapping_disturbances_end_with_the_last(self):
        self.checker.begin_disturbance(STORE)
        self.checker.begin_disturbance(STORE)
        self.checker.end_disturbance(STORE)
        self.now += 10.0
        self.assertFalse(self.checker.in_touch("e0#1", self.now))
        self.checker.end_disturbance(STORE)
        self.now += 4.1
        self.assertTrue(self.checker.in_touch("e0#1", self.now))
        self.assertFalse(self.checker.in_touch(None, self.now))

    def test_missing_route_of_the_newest_version_is_a_violation(self):
        self.checker.versions.append(({"s3", "s4", "s5"}, self.now - 2.9))
        self.probe(1, 404)
        self.probe(1, 503)
        self.assertEqual(self.checker.violations, [])
        self.now += 0.2
        self.probe(1, 404)
        self.assertEqual(self.violation_count(), 1)

    def test_dropped_route_that_is_served_is_a_violation(self):
        self.checker.versions.append(({"s3", "s4", "s5"}, self.now - 2.9))
        self.probe(0, 200)
        self.probe(0, 404)
        self.assertEqual(self.checker.violations, [])
        self.now += 0.2
        self.probe(0, 200)
        self.assertEqual(self.violation_count(), 1)
        self.assertEqual(self.checker.bound_answers, 1)

    def test_version_that_is_not_acknowledged_is_not_due(self):
        self.checker.versions.append(({"s3", "s4", "s5"}, math.inf))
        self.now += 60.0
        self.probe(1, 404)
        self.probe(0, 200)
        self.send_request()
        self.answer()
        self.assertEqual(self.checker.violations, [])

    def test_probes_show_a_version_downgrade_in_one_life(self):
        self.checker.versions.append(({"s3", "s4", "s5"}, math.inf))
        self.probe(1, 200)
        self.disturb(STORE, 0.0)  # Excuses nothing: a version does not go back.
        self.now += 0.2
        self.probe(1, 404)
        self.assertEqual(self.checker.violations, [])
        self.now += 0.2
        self.probe(1, 404)
        self.probe(0, 200)
        self.probe(0, 200, instance="e0#2")
        self.assertEqual(self.violation_count(), 2)

    def test_refusal_of_what_every_version_allows_is_a_violation(self):
        self.send_request()
        self.answer(status=404)
        self.assertEqual(self.violation_count(), 1)
        self.send_request(kind="probe")
        self.answer(status=404)
        self.assertEqual(self.violation_count(), 1)

    def test_request_to_a_draining_server_beside_other_faults_is_a_violation(self):
        self.checker.record_leaving_acknowledged("s0-0-1")
        self.now += 3.1
        self.send_request()
        self.checker.last_fault = self.now
        self.run_at(senders=["e0"])
        self.assertEqual(self.violation_count(), 1)
        self.run_at()  # The link to the server was disturbed.
        self.disturb("e1", 1.0)
        self.run_at(senders=["e0", "e1"])  # Either may have sent it.
        self.disturb(STORE, 3.9)
        self.run_at(senders=["e0"])
        self.assertEqual(self.violation_count(), 1)

    def test_draining_that_an_unstable_store_acknowledged_binds_after_the_faults(self):
        self.disturb(STORE, 1.0)
        self.checker.record_leaving_acknowledged("s0-0-1")
        self.now += 6.0
        self.send_request()
        self.checker.last_fault = self.now
        self.run_at(senders=["e0"])
        self.assertEqual(self.checker.violations, [])
        self.now += 7.1
        self.send_request()
        self.run_at()
        self.assertEqual(self.violation_count(), 1)

    def test_request_to_an_evacuated_domain_is_a_violation(self):
        self.checker.evacuated["a"] = self.now - 5.1
        self.checker.check_evacuated("b", "s0-1-1", "r1", ["e0"])
        self.checker.check_evacuated("a", "s0-0-1", "r1", [])
        self.disturb("e1", 1.0)
        self.checker.check_evacuated("a", "s0-0-1", "r1", ["e0", "e1"])
        self.assertEqual(self.checker.violations, [])
        self.checker.check_evacuated("a", "s0-0-1", "r1", ["e0"])
        self.assertEqual(self.violation_count(), 1)
        self.disturb(STORE, 3.9)
        self.checker.check_evacuated("a", "s0-0-1", "r1", ["e0"])
        self.assertEqual(self.violation_count(), 1)


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """The store that the soak emulates loses what it has acknowledged only when it comes back from a copy."""

    async def asyncSetUp(self):
        self.store = Store()
        await self.store.put("op/config", b"1")
        await self.store.put("servers/s0", b"ready")
        self.store.copies = [(asyncio.get_running_loop().time(), self.store.contents())]

    async def test_contents_revisions_and_leases_go_back(self):
        lease = self.store.grant(10000)
        await self.store.write("ragwort/instances/e0", b"x", lease)
        await self.store.put("op/config", b"2")
        lost = self.store.come_back(0.0)
        self.assertEqual((lost, self.store.revision, self.store.epoch), (2, 3, 2))
        self.assertEqual(sorted(self.store.items), ["op/config", "servers/s0"])
        self.assertEqual([change["revision"] for change in self.store.history], [2, 3])
        self.assertEqual(self.store.leases, {})
        self.assertEqual(self.store.grant(10000), lease)

    async def test_what_is_written_again(self):
        await self.store.put("op/config", b"2")
        await self.store.put("op/evacuate/a", b"{}")
        await self.store.put("servers/s0", b"draining")
        await self.store.put("servers/s1", b"ready")
        self.store.come_back(0.0)
        lost = [key for key in self.store.written if self.store.is_lost(key)]
        self.assertEqual(lost, ["op/config", "servers/s0", "op/evacuate/a", "servers/s1"])

    async def test_writes_wait_until_the_store_is_back(self):
        self.store.leave("silent")
        write = asyncio.create_task(self.store.put("op/config", b"2"))
        await asyncio.sleep(0)
        self.assertFalse(write.done())
        self.store.come_back(0.0)
        await write
        self.assertEqual(self.store.revision, 4)

    async def test_watch_from_a_revision_that_the_store_does_not_have(self):
        self.assertEqual((await self.store.watch(4, 0.0)).status, 410)
        self.assertEqual((await self.store.watch(2, 0.0)).status, 200)


if __name__ == "__main__":
    unittest.main()
