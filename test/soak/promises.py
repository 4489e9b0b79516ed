"""What callers and backend servers must never see, checked while the soak runs."""

import collections

from stand_in import RECORD_BYTES, is_signature, records_of

# How much longer than the caller waits a server may be told to work, in milliseconds.
DEADLINE_SLACK_MS = 500
# After this many seconds without a fault nothing excuses a late reaction to a change.
CONTACT_S = 4.0
DRAIN_S = 3.0
APPLY_S = 3.0
# A version that was seen once may be missing from answers sent this much later at most.
DOWNGRADE_S = 0.25


class Promises:
    def __init__(self, clock):
        self.clock = clock
        self.broken = []
        self.asked = {}
        self.runs = collections.defaultdict(list)
        self.said_not_run = set()
        # When each server id was acknowledged as leaving, and when each shard set was acknowledged as the newest.
        self.leaving = {}
        self.versions = []
        self.seen_version = {}
        self.last_fault = 0.0

    def violate(self, text):
        self.broken.append(f"{self.clock():7.3f} {text}")
        print(f"BROKEN {self.broken[-1]}", flush=True)

    def calm_for(self, seconds):
        return self.clock() - self.last_fault > seconds

    def note_asked(self, request_id, kind, target, deadline_ms):
        self.asked[request_id] = (kind, target, self.clock() + deadline_ms / 1000)

    def note_run(self, backend, request, request_id, held_up):
        """A server begins to work on a request; it may be late if the way there was harmed or its sender paused."""
        now = self.clock()
        if request_id not in self.asked:
            self.violate(f"{backend.server_id} runs {request_id}, which nobody asked")
            return
        kind, target, deadline = self.asked[request_id]
        if request.path_qs != target:
            self.violate(f"{request_id} runs as {request.path_qs} instead of {target}")
        if request_id in self.said_not_run:
            self.violate(f"{request_id} runs after its caller was told that it will not")
        if kind == "once" and self.runs[request_id]:
            self.violate(f"{request_id} may run once and runs again at {backend.server_id}")
        self.runs[request_id].append(backend.server_id)
        told = int(request.headers.get("X-Deadline-Ms", "999999999"))
        if now + told / 1000 > deadline + DEADLINE_SLACK_MS / 1000 and not held_up:
            self.violate(f"{request_id} is given {told} ms at {backend.server_id}, its caller waits {1000 * (deadline - now):.0f} ms")
        left = self.leaving.get(backend.server_id)
        if left is not None and now - left > DRAIN_S and self.calm_for(CONTACT_S + DRAIN_S):
            self.violate(f"{request_id} reaches {backend.server_id} {now - left:.2f} s after it was leaving")

    def note_answer(self, request_id, instance, status, headers, body, sent_at):
        kind, target, _ = self.asked[request_id]
        if status in (408, 421, 429, 503):
            self.said_not_run.add(request_id)
            if kind == "once" and self.runs[request_id]:
                self.violate(f"{request_id} is answered {status} and has run at {self.runs[request_id]}")
        elif 200 <= status < 300:
            if kind == "gather":
                self.check_gathered(request_id, instance, target, headers, body, sent_at)
            else:
                service = is_signature(headers.get("X-Server-Stamp", ""), request_id)
                if service is None or body != b"".join(records_of(service, target)):
                    self.violate(f"{request_id} succeeds with an answer that no server gave")

    def check_gathered(self, request_id, instance, target, headers, body, sent_at):
        services = [is_signature(text.strip(), request_id) for text in headers.get("X-Part-Stamps", "").split(",")]
        missing = int(headers.get("X-Missing-Parts", "0"))
        if None in services or len(set(services)) != len(services):
            self.violate(f"{request_id} names parts that are no answers to it: {headers.get('X-Part-Stamps')}")
            return
        fitting = [index for index, (shards, _) in enumerate(self.versions) if set(services) <= shards and len(services) + missing == len(shards)]
        if not fitting:
            self.violate(f"{request_id} merges {sorted(services)} and leaves out {missing}: no version names such a set")
            return
        if len(services) < 0.7 * (len(services) + missing):
            self.violate(f"{request_id} succeeds with {len(services)} parts and {missing} missing")
        records = sorted((record for service in services for record in records_of(service, target)), reverse=True)
        if body != b"".join(records[: len(body) // RECORD_BYTES]) or len(body) != RECORD_BYTES * min(5, len(records)):
            self.violate(f"{request_id} does not hold the greatest records of its parts")
        self.check_version(request_id, instance, fitting[0], fitting[-1], sent_at)

    def check_version(self, request_id, instance, oldest, version, sent_at):
        """An answer that leaves parts out may stem from any version between the two."""
        due = [index for index, (_, acknowledged) in enumerate(self.versions) if sent_at - acknowledged > APPLY_S]
        if due and version < due[-1] and self.calm_for(CONTACT_S + APPLY_S):
            self.violate(f"{request_id} is answered at {instance} by version {version}, {due[-1]} is in force")
        newest, since = self.seen_version.get(instance, (-1, 0.0))
        if version < newest and sent_at > since + DOWNGRADE_S:
            self.violate(f"{instance} goes back from version {newest} to {version}")
        if oldest > newest:
            self.seen_version[instance] = (oldest, self.clock())
