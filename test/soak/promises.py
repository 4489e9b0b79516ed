"""Invariants of what callers and backend servers observe, checked during a soak run."""

import collections

from stand_in import RECORD_BYTES, expected_records, signed_service

# Time by which the deadline that a server receives may be later than the caller's, to allow for delays on the way.
DEADLINE_SLACK_MS = 500
# Bounds in the settings of the instances (soak.py). After a fault, an instance has CONTACT_S to reach the platform again. From then
# on, it must avoid a leaving server within DRAIN_S, a domain that is out of service within EVACUATE_S, and apply new routes within APPLY_S.
CONTACT_S = 4.0
DRAIN_S = 3.0
APPLY_S = 3.0
EVACUATE_S = 5.0
# A request that is on its way when a server asks an instance for a pause may still arrive within this time, and two later ones may.
IN_FLIGHT_S = 0.5
REQUESTS_IN_PAUSE = 2
# An instance must not answer by an older version if the request was sent later than this after its first answer by a newer one.
DOWNGRADE_S = 0.25
# Name of the store among what is disturbed.
STORE = "store"


class InvariantChecker:
    def __init__(self, clock):
        self.clock = clock
        self.violations = []
        self.requests = {}
        self.runs = collections.defaultdict(list)
        self.reported_not_run = set()
        # Time at which each server was announced as leaving, by server id.
        self.leaving = {}
        # Servers among them whose announcement a stable store acknowledged.
        self.stably_leaving = set()
        # Time at which each domain was taken out of service, by domain.
        self.evacuated = {}
        # Number of disturbances in progress, and the time of the last one, of the store and of each instance with its link to the store.
        self.disturbances = collections.Counter()
        self.last_disturbed = {}
        # Begin and end of the last pause that a server asked an instance for, and the requests that reached it meanwhile, by (server, instance).
        self.pauses = {}
        # Time at which a server first told an instance that it leaves, by (server, instance).
        self.told_leaving = {}
        # Set of shards and time of the write of each version of the routes. A version is named by its index.
        self.versions = []
        # Newest version that each instance has answered by, and the time of that answer.
        self.newest_seen_version = {}
        # Number of answers of instances that had to have the newest version in force.
        self.bound_answers = 0
        self.last_fault = 0.0

    def report_violation(self, text):
        self.violations.append(f"{self.clock():7.3f} {text}")
        print(f"BROKEN {self.violations[-1]}", flush=True)

    def fault_free_for(self, seconds):
        return self.clock() - self.last_fault > seconds

    def begin_disturbance(self, name):
        self.disturbances[name] += 1

    def end_disturbance(self, name):
        self.disturbances[name] -= 1
        self.last_disturbed[name] = self.clock()

    def is_calm(self, name, at):
        """Returns whether the store or an instance has been undisturbed for CONTACT_S at a time."""
        return not self.disturbances[name] and at - self.last_disturbed.get(name, -100.0) > CONTACT_S

    def in_touch(self, process, at):
        """Returns whether a process was in touch with a stable store at a time. It is named instance#number, or None if it is not known."""
        return process is not None and self.is_calm(STORE, at) and self.is_calm(process.partition("#")[0], at)

    def record_leaving_acknowledged(self, server_id):
        self.leaving[server_id] = self.clock()
        if self.is_calm(STORE, self.clock()):
            self.stably_leaving.add(server_id)

    def record_request(self, request_id, kind, target, deadline_ms):
        self.requests[request_id] = (kind, target, self.clock() + deadline_ms / 1000)

    def record_run(self, backend, request, request_id, skip_deadline_check, delays="", senders=()):
        """Checks the start of an execution. A fault may delay the request on its way; skip_deadline_check is set in that case. A
        violation tells delays, which describes what may have delayed the request. One of the senders has sent it; none are named if the
        link to the server was disturbed."""
        now = self.clock()
        if request_id not in self.requests:
            self.report_violation(f"{backend.server_id} runs {request_id}, which no caller sent")
            return
        kind, target, deadline = self.requests[request_id]
        if request.path_qs != target:
            self.report_violation(f"{request_id} runs with target {request.path_qs} instead of {target}")
        if request_id in self.reported_not_run:
            self.report_violation(f"{request_id} runs after its caller received a not-run answer")
        if kind == "once" and self.runs[request_id]:
            self.report_violation(f"{request_id} must run at most once but runs again at {backend.server_id}")
        self.runs[request_id].append(backend.server_id)
        server_deadline_ms = int(request.headers.get("X-Deadline-Ms", "999999999"))
        if now + server_deadline_ms / 1000 > deadline + DEADLINE_SLACK_MS / 1000 and not skip_deadline_check:
            self.report_violation(
                f"{request_id} arrives at {backend.server_id} with a deadline of {server_deadline_ms} ms, its caller waits {1000 * (deadline - now):.0f} ms; {delays}"
            )
        leaving_since = self.leaving.get(backend.server_id)
        if leaving_since is not None and now - leaving_since > DRAIN_S and (
            self.fault_free_for(CONTACT_S + DRAIN_S) or (backend.server_id in self.stably_leaving and self.all_in_touch(senders))
        ):
            self.report_violation(f"{request_id} reaches {backend.server_id} {now - leaving_since:.2f} s after the server was announced as leaving")

    def all_in_touch(self, senders):
        return bool(senders) and all(self.in_touch(sender, self.clock()) for sender in senders)

    def check_evacuated(self, domain, server_id, request_id, senders):
        """Checks a request that reaches a server of a domain, sent by one of the senders."""
        late_s = self.clock() - self.evacuated.get(domain, self.clock())
        if late_s > EVACUATE_S and self.all_in_touch(senders):
            self.report_violation(f"{request_id} reaches {server_id} {late_s:.2f} s after domain {domain} was taken out of service")

    def record_pause(self, server_id, instance, seconds):
        self.pauses[server_id, instance] = [self.clock(), self.clock() + seconds, 0]

    def record_leaving(self, server_id, instance):
        self.told_leaving.setdefault((server_id, instance), self.clock())

    def record_arrival(self, server_id, instance, request_id, sent_at):
        """Checks a request that reaches a server, whether it runs there or not, against what the server has told the instance that sent it."""
        now = self.clock()
        pause = self.pauses.get((server_id, instance))
        if pause is not None and pause[0] + IN_FLIGHT_S < now < pause[1]:
            pause[2] += 1
            if pause[2] > REQUESTS_IN_PAUSE:
                self.report_violation(f"{request_id} reaches {server_id} from {instance} {now - pause[0]:.2f} s after it asked for a pause")
        told = self.told_leaving.get((server_id, instance))
        if told is not None and sent_at - told > DRAIN_S:
            self.report_violation(f"{request_id} reaches {server_id} from {instance} {now - told:.2f} s after it told that it leaves")

    def record_answer(self, request_id, instance, status, headers, body, sent_at):
        kind, target, _ = self.requests[request_id]
        if status in (401, 403, 404) and kind != "probe":
            self.report_violation(f"{request_id} is answered with {status} at {instance} although every version allows it")
        # These statuses state that the request did not run.
        if status in (408, 421, 429, 503):
            self.reported_not_run.add(request_id)
            if kind == "once" and self.runs[request_id]:
                self.report_violation(f"{request_id} is answered with {status} but ran at {self.runs[request_id]}")
        elif 200 <= status < 300:
            if kind == "gather":
                self.check_gathered(request_id, instance, target, headers, body, sent_at)
            else:
                service = signed_service(headers.get("X-Server-Stamp", ""), request_id)
                if service is None or body != b"".join(expected_records(service, target)):
                    self.report_violation(f"{request_id} succeeds with an answer that no server sent")

    def record_probe(self, request_id, instance, version, status, sent_at):
        """Checks the answer to a request on the route that only the named version has."""
        if 200 <= status < 300:
            self.check_version(request_id, instance, version, version, sent_at)
        elif status == 404 and version == len(self.versions) - 1:
            self.check_version(request_id, instance, -1, version - 1, sent_at)

    def check_gathered(self, request_id, instance, target, headers, body, sent_at):
        services = [signed_service(text.strip(), request_id) for text in headers.get("X-Part-Stamps", "").split(",")]
        missing = int(headers.get("X-Missing-Parts", "0"))
        if None in services or len(set(services)) != len(services):
            self.report_violation(f"{request_id} lists missing, invalid or duplicate stamps of parts: {headers.get('X-Part-Stamps')}")
            return
        matching_versions = [index for index, (shards, _) in enumerate(self.versions) if set(services) <= shards and len(services) + missing == len(shards)]
        if not matching_versions:
            self.report_violation(f"{request_id} merges {sorted(services)} with {missing} missing: no version contains this set")
            return
        # 0.7 and 5 are min_version and top_k of the route.
        if len(services) < 0.7 * (len(services) + missing):
            self.report_violation(f"{request_id} succeeds with {len(services)} parts and {missing} missing")
        records = sorted((record for service in services for record in expected_records(service, target)), reverse=True)
        if body != b"".join(records[: len(body) // RECORD_BYTES]) or len(body) != RECORD_BYTES * min(5, len(records)):
            self.report_violation(f"{request_id} does not contain the greatest records of its parts")
        self.check_version(request_id, instance, matching_versions[0], matching_versions[-1], sent_at)

    def check_version(self, request_id, instance, oldest_match, newest_match, sent_at):
        """Checks the version of an answer. An answer with missing parts may match several versions."""
        applied = [index for index, (_, acknowledged) in enumerate(self.versions) if sent_at - acknowledged > APPLY_S]
        in_touch = self.fault_free_for(CONTACT_S + APPLY_S) or self.in_touch(instance, sent_at)
        self.bound_answers += bool(in_touch and applied and applied[-1] == len(self.versions) - 1)
        if applied and newest_match < applied[-1] and in_touch:
            late_s = sent_at - self.versions[applied[-1]][1]
            self.report_violation(f"{request_id} is answered at {instance} by version {newest_match} {late_s:.2f} s after {applied[-1]} was acknowledged")
        newest, since = self.newest_seen_version.get(instance, (-1, 0.0))
        if newest_match < newest and sent_at > since + DOWNGRADE_S:
            self.report_violation(f"{instance} reverts from version {newest} to {newest_match}")
        if oldest_match > newest:
            self.newest_seen_version[instance] = (oldest_match, self.clock())
