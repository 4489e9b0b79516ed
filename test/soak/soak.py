#!/usr/bin/python3
"""Randomized soak test: runs entry processes against emulated services under faults from a loopback proxy and signals.

    test/soak/soak.py --seeds 1,2,3 [--build DIR] [--instances N] [--faults-s S] [--at-once N] [--keep DIR]

Each seed is a separate run. A run ends with a line "seed N ok" or "seed N BROKEN". The exit code is 0 if all runs are ok.
"""

import argparse
import asyncio
import itertools
import json
import math
import os
import random
import signal
import sys
import tempfile

import aiohttp
from aiohttp import web

from promises import CONTACT_S, STORE, InvariantChecker
from stand_in import Backend, Proxy, Store

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DOMAINS = ["a", "b", "c"]
# Number of shards in each version of the routes. There are twice as many services, so that versions can use different ones.
SHARDS = 6
# Time within which every instance must become ready at the start of a run.
READY_S = 15
# Time after its start by which a process accepts connections.
LISTENING_S = 2.0
# Time after SIGTERM within which a process must exit.
GRACE_S = 6.0
# Time after the last fault from which every request must succeed.
RECOVERY_S = 12.0
CALLERS_PER_INSTANCE = 2
CALLER_PAUSE_S = 0.05
DEADLINE_MS = 1500
# Interval of the event loop's stall detection, and the delay beyond it that counts as a stall.
STALL_CHECK_INTERVAL_S = 0.02
STALL_THRESHOLD_S = 0.25


# Processor share of instances that gather all shards of a query in time, and of weaker ones, which divide a query among them.
STRONG_CPU_SHARE, WEAK_CPU_SHARE = 1.0, 0.002


# From this seed on, servers also state in their answers that they want a pause or leave. Earlier seeds keep their order of faults.
FIRST_SEED_WITH_STATEMENTS = 500
# From this seed on, the store also comes back from an older copy, servers run on for longer after they have left, and domains stay out of
# service for longer.
FIRST_SEED_WITH_RESTORES = 600
# Longest time for which the store is away before it comes back from a copy, and the age of that copy.
LONGEST_AWAY_S = 2.0
COPY_AGE_S = (0.1, 10.0)
# Largest number of changes by other writers just before the store goes away, and after its return.
OTHER_CHANGES = 12
# Time after its return within which the operator and the servers write again what it has lost.
WRITTEN_AGAIN_S = (0.2, 2.0)
# Interval between requests that show which version is in force at an instance.
PROBE_INTERVAL_S = 0.25


def processor_waits(pid):
    """Returns how long each thread of a process has waited for a processor, in seconds. Empty if the process has ended."""
    waits = {}
    try:
        for task in os.listdir(f"/proc/{pid}/task"):
            with open(f"/proc/{pid}/task/{task}/schedstat", encoding="ascii") as file:
                waits[task] = int(file.read().split()[1]) / 1e9
    except (OSError, IndexError):
        pass
    return waits


def processor_wait_s(pid, before):
    """Returns the longest time that a thread of a process has waited for a processor since the waits were before."""
    return max((wait - before[task] for task, wait in processor_waits(pid).items() if task in before), default=0.0)


class Instance:
    """An entry instance and the proxy between it and the store. Starts a new process after a short pause when the process exits."""

    def __init__(self, deployment, number):
        self.deployment, self.number = deployment, number
        self.name, self.domain = f"e{number}", DOMAINS[number % len(DOMAINS)]
        self.ip = f"127.{deployment.net}.0.{number + 1}"
        self.store_proxy = Proxy((self.ip, 8100), deployment.store_address)
        self.settings = os.path.join(deployment.folder, self.name + ".conf")
        self.log = open(os.path.join(deployment.folder, self.name + ".log"), "ab")
        self.process = None
        self.incarnation = 0
        # The soak test has sent a signal that terminates the process.
        self.ending = False
        # That signal asks the process to stop gracefully.
        self.planned_stop = False
        self.paused = False
        # Times before the start of the run stand for never, here and below.
        self.resumed_at = self.launched_at = -100.0

    def write_settings(self):
        text = f"""node={self.name}
zone={self.domain}
ip={self.ip}
listen.front={self.ip}:8226
listen.ready={self.ip}:8227
port_range=7740,7755
limits.max_fds=2000
limits.cpu_share={self.deployment.cpu_share}
platform.addr={self.ip}:8100
bounds.contact_ms=4000
bounds.apply_ms=3000
bounds.drain_ms=3000
bounds.grace_s={GRACE_S:.0f}
bounds.retry_ratio=0.2
bounds.retry_slack=54
bounds.warmup_excess=1.5
bounds.warmup_slack=5
"""
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    async def start(self):
        await self.store_proxy.start()
        self.write_settings()
        await self.launch()

    async def launch(self):
        self.incarnation += 1
        self.launched_at = self.deployment.clock()
        self.ending = self.planned_stop = self.paused = False
        self.mark_disturbed()
        program = os.path.join(self.deployment.build, "bin", "ragwort-platform-entry")
        self.process = await asyncio.create_subprocess_exec(program, "--settings=" + self.settings, stdout=self.log, stderr=self.log)
        self.deployment.spawn(self.restart_when_exited())

    def mark_disturbed(self):
        self.deployment.checker.begin_disturbance(self.name)
        self.deployment.checker.end_disturbance(self.name)

    async def restart_when_exited(self):
        code = await self.process.wait()
        if not self.ending and not self.deployment.closing:
            self.deployment.checker.report_violation(f"{self.name} exited unexpectedly with code {code}")
        if not self.deployment.closing:
            await asyncio.sleep(0.3)
            await self.launch()

    def signal(self, number):
        """Sends a signal to the process if it is running. Signals only processes that this test has started."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def kill(self):
        self.ending = True
        self.mark_disturbed()
        self.signal(signal.SIGKILL)

    async def stop_gracefully(self):
        self.ending = self.planned_stop = True
        self.deployment.checker.begin_disturbance(self.name)
        process = self.process
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), GRACE_S + 0.5)
        except asyncio.TimeoutError:
            self.deployment.checker.report_violation(f"{self.name} is still running {GRACE_S:.0f} s after SIGTERM")
            process.kill()
        self.deployment.checker.end_disturbance(self.name)


class Deployment:
    """The instances, the emulated platform and the callers of one run, on a loopback network of its own (127.net.0.0/16)."""

    def __init__(self, seed, options, net):
        # Queries are divided in every second run.
        self.cpu_share = WEAK_CPU_SHARE if seed % 2 else STRONG_CPU_SHARE
        self.random = random.Random(seed)
        self.seed, self.net, self.build = seed, net, options.build
        self.folder = os.path.join(options.keep, f"seed-{seed}")
        os.makedirs(self.folder, exist_ok=True)
        self.closing = False
        self.tasks = set()
        self.started = asyncio.get_running_loop().time()
        self.checker = InvariantChecker(self.clock)
        self.store = Store()
        self.store_runner = None
        self.store_address = (f"127.{net}.1.1", 8100)
        self.backends, self.proxies = [], {}
        self.instances = []
        self.options = options
        self.version = 0
        self.routes_written = asyncio.Lock()
        self.again_random = random.Random(f"{seed}-again")
        self.ids = itertools.count(1)
        self.served = self.failed = 0
        self.last_stall_at = -100.0
        # Sum of the delays of this process's event loop.
        self.loop_delay_s = 0.0
        # Instance that received each request, by request id.
        self.target_instances = {}
        # Time at which each request was sent, by id.
        self.sent_times = {}
        # Time at which the head of each request was written to its connection, by id.
        self.written_times = {}
        # How long the threads of this process and of the instance had waited for a processor, and the event loop had been delayed, when the
        # request was sent, by id.
        self.sent_waits = {}

    def clock(self):
        return asyncio.get_running_loop().time() - self.started

    def spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def record_run(self, backend, request, request_id):
        """Passes an execution to the checker. The deadline is not checked if a fault or a stall may have delayed the request."""
        proxy = self.proxies[backend.service, backend.number]
        disturbed = proxy.fault_mode != "none" or proxy.delay_s or self.clock() - proxy.last_fault_at < CONTACT_S
        target_instance = self.target_instances.get(request_id)
        paused = target_instance is not None and self.recently_paused(target_instance)
        stalled = self.clock() - self.last_stall_at < DEADLINE_MS / 1000
        delays = "" if target_instance is None else self.describe_delays(request_id, target_instance)
        senders = () if disturbed else self.possible_senders(request_id)
        self.checker.record_run(backend, request, request_id, disturbed or paused or stalled, delays, senders)

    def describe_delays(self, request_id, instance):
        """Describes what may have delayed the request since it was sent, for the text of a violation."""
        own_waits, instance_waits, loop_delay_s = self.sent_waits[request_id]
        waited_s = processor_wait_s("self", own_waits) + processor_wait_s(instance.process.pid, instance_waits)
        written_s = self.written_times.get(request_id, self.sent_times[request_id]) - self.sent_times[request_id]
        paused = [other.name for other in self.instances if self.recently_paused(other)]
        return (
            f"written after {1000 * written_s:.0f} ms, event loop delayed by {1000 * (self.loop_delay_s - loop_delay_s):.0f} ms,"
            f" waits for a processor {1000 * waited_s:.0f} ms, recently paused: {','.join(paused) or 'none'}"
        )

    def possible_senders(self, request_id):
        """Returns the names of the instances of which one sends the request to servers: all if queries are divided."""
        instance = self.target_instances.get(request_id)
        if instance is None or self.cpu_share != STRONG_CPU_SHARE:
            return [other.name for other in self.instances]
        return [instance.name]

    def sender_of(self, request_id):
        """Returns the process that sends the request to servers, or None if queries are divided or a fault may have delayed the request."""
        instance = self.target_instances.get(request_id)
        if instance is None or self.cpu_share != STRONG_CPU_SHARE or self.recently_paused(instance):
            return None
        stalled = self.clock() - self.last_stall_at < DEADLINE_MS / 1000
        return None if stalled else f"{instance.name}#{instance.incarnation}"

    def record_arrival(self, backend, request_id):
        proxy = self.proxies[backend.service, backend.number]
        disturbed = proxy.fault_mode != "none" or proxy.delay_s or self.clock() - proxy.last_fault_at < CONTACT_S
        if not disturbed:
            self.checker.check_evacuated(backend.domain, backend.server_id, request_id, self.possible_senders(request_id))
        sender = self.sender_of(request_id)
        if sender is not None and not disturbed:
            self.checker.record_arrival(backend.server_id, sender, request_id, self.sent_times[request_id])

    def record_pause(self, backend, request_id, seconds):
        sender = self.sender_of(request_id)
        if sender is not None:
            self.checker.record_pause(backend.server_id, sender, seconds)

    def record_leaving(self, backend, request_id):
        sender = self.sender_of(request_id)
        if sender is not None:
            self.checker.record_leaving(backend.server_id, sender)

    async def detect_stalls(self):
        """Records stalls of this process, during which callers send requests later than their recorded time."""
        while True:
            before = self.clock()
            await asyncio.sleep(STALL_CHECK_INTERVAL_S)
            self.loop_delay_s += max(self.clock() - before - STALL_CHECK_INTERVAL_S, 0.0)
            if self.clock() - before > STALL_CHECK_INTERVAL_S + STALL_THRESHOLD_S:
                self.last_stall_at = self.clock()
                print(f"{self.last_stall_at:7.3f} seed {self.seed}: the soak test stalled for {self.last_stall_at - before:.2f} s", flush=True)

    async def start(self):
        self.store_runner = web.ServerRunner(web.Server(self.store.handle, access_log=None), shutdown_timeout=0)
        await self.store_runner.setup()
        await web.TCPSite(self.store_runner, *self.store_address, reuse_address=True).start()
        self.spawn(self.store.expire_leases())
        self.spawn(self.store.keep_copies())
        self.spawn(self.detect_stalls())
        for shard in range(2 * SHARDS):
            for number, domain in enumerate(DOMAINS):
                service = f"s{shard}"
                address = (f"127.{self.net}.{10 + shard}.{number + 1}", 8142)
                backend = Backend(service, number, address, domain, self)
                self.proxies[service, number] = Proxy((address[0], 8143), address)
                await self.proxies[service, number].start()
                await backend.start()
                await self.store.put("servers/" + backend.server_id, backend.registration())
                self.backends.append(backend)
        await self.write_routes()
        for number in range(self.options.instances):
            self.instances.append(Instance(self, number))
            await self.instances[-1].start()

    async def write_routes(self):
        """Writes the next version of the routes, which shifts the shards by one service like a repartition. Each has a route of its own."""
        async with self.routes_written:
            await self.write_next_routes()

    async def write_next_routes(self):
        shards = [f"s{(self.version + index) % (2 * SHARDS)}" for index in range(SHARDS)]
        self.version += 1
        common = {"host": "h", "timeout_ms": 3000, "target_latency_ms": 300, "max_attempts": 3, "priority": 1}
        routes = [
            {**common, "name": "gather", "prefix": "/g/", "kind": "safe", "gather": shards, "top_k": 5, "min_version": 0.7},
            {**common, "name": "one", "prefix": "/one/", "kind": "safe", "service": "s0"},
            {**common, "name": "once", "prefix": "/once/", "kind": "unsafe", "service": "s1"},
            {**common, "name": f"v{self.version - 1}", "prefix": f"/v{self.version - 1}/", "kind": "safe", "service": "s2"},
        ]
        services = [{"name": f"s{shard}", "max_conns": 60, "warmup_s": 0, "warmup_per_s": 0} for shard in range(2 * SHARDS)]
        limits = {"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000, "idle_ms": 15000}
        text = json.dumps({"version": self.version, "routes": routes, "services": services, "limits": limits})
        self.checker.versions.append((set(shards), math.inf))
        await self.store.put("op/config", text.encode())
        self.checker.versions[-1] = (set(shards), self.clock())

    def restore_store(self, age_s):
        """Lets the store come back from a copy. What the operator and the servers wrote since is written again, each at its own moment."""
        lost = self.store.come_back(age_s)
        keys = [key for key in self.store.written if self.store.is_lost(key)]
        for key in keys:
            self.spawn(self.write_again(key, self.again_random.uniform(*WRITTEN_AGAIN_S)))
        return f"epoch {self.store.epoch}, copy {age_s:.2f} s old, {lost} revisions lost, to be written again: {','.join(keys) or 'nothing'}"

    async def write_again(self, key, after_s):
        await asyncio.sleep(after_s)
        await self.store.present.wait()
        value = self.store.written[key]
        alive = any("servers/" + backend.server_id == key for backend in self.backends if backend.runner is not None)
        if self.store.is_lost(key) and (value is None or alive or not key.startswith("servers/")):
            await self.store.write(key, value)

    async def wait_until_ready(self):
        async with aiohttp.ClientSession() as session:
            for instance in self.instances:
                for _ in range(READY_S * 10):
                    try:
                        async with session.get(f"http://{instance.ip}:8227/readyz", timeout=aiohttp.ClientTimeout(total=1)) as answer:
                            if answer.status == 200:
                                break
                    except (aiohttp.ClientError, asyncio.TimeoutError):
                        pass
                    await asyncio.sleep(0.1)
                else:
                    self.checker.report_violation(f"{instance.name} is not ready after {READY_S} s")

    async def run_caller(self, instance, number):
        """Sends requests of randomly chosen kinds over one keep-alive connection until the run closes."""
        connector = aiohttp.TCPConnector(limit=1)
        rng = random.Random(f"{self.seed}-{instance.name}-{number}")
        async with aiohttp.ClientSession(connector=connector, trace_configs=[self.trace_writes()]) as session:
            while not self.closing:
                await self.send_request(session, instance, rng.choice(["gather", "gather", "one", "once"]))
                await asyncio.sleep(CALLER_PAUSE_S)

    async def run_prober(self, instance):
        """Sends requests on the routes that only the newest version, or the one before it, has."""
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=1), trace_configs=[self.trace_writes()]) as session:
            for number in itertools.count():
                if self.closing:
                    return
                version = len(self.checker.versions) - 1 - number % 2
                if version >= 0:
                    await self.send_request(session, instance, "probe", version)
                await asyncio.sleep(PROBE_INTERVAL_S)

    def trace_writes(self):
        """Returns a trace that records when the head of each request is written."""

        async def on_headers_sent(_session, context, _parameters):
            self.written_times[context.trace_request_ctx] = self.clock()

        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(on_headers_sent)
        return trace

    async def send_request(self, session, instance, kind, version=None):
        request_id = f"{self.seed:x}-{next(self.ids):x}"
        path = {"gather": "/g/", "one": "/one/", "once": "/once/", "probe": f"/v{version}/"}[kind] + request_id + "?page=1"
        sent_at, incarnation = self.clock(), instance.incarnation
        self.target_instances[request_id] = instance
        self.sent_times[request_id] = sent_at
        self.sent_waits[request_id] = (processor_waits("self"), processor_waits(instance.process.pid), self.loop_delay_s)
        self.checker.record_request(request_id, kind, path, DEADLINE_MS)
        headers = {"Host": "h", "X-Request-Id": request_id, "X-Deadline-Ms": str(DEADLINE_MS)}
        method = session.post if kind == "once" else session.get
        try:
            url, timeout = f"http://{instance.ip}:8226{path}", aiohttp.ClientTimeout(total=DEADLINE_MS / 1000 + 1)
            async with method(url, headers=headers, timeout=timeout, trace_request_ctx=request_id) as answer:
                body = await answer.read()
                # Without an instance name if the process was replaced meanwhile, as either process may have sent the answer.
                same_process = instance.incarnation == incarnation
                process = f"{instance.name}#{incarnation}" if same_process else None
                self.checker.record_answer(request_id, process, answer.status, answer.headers, body, sent_at)
                if kind == "probe":
                    self.checker.record_probe(request_id, process, version, answer.status, sent_at)
                succeeded = 200 <= answer.status < 300
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            succeeded = False
            self.check_unanswered(instance, incarnation, request_id, error)
        if kind != "probe":
            self.served += succeeded
            self.failed += not succeeded
        return succeeded

    def check_unanswered(self, instance, incarnation, request_id, error):
        """A request may stay unanswered if its process was killed or paused, or did not accept the connection while stopping."""
        starting = isinstance(error, aiohttp.ClientConnectorError) and self.clock() - instance.launched_at < LISTENING_S
        exempt = instance.ending or instance.paused or instance.incarnation != incarnation or starting
        # A graceful stop must answer the requests that have run, unless a fault disturbs it.
        if instance.planned_stop and instance.incarnation == incarnation and self.checker.runs[request_id]:
            exempt = not self.checker.fault_free_for(DEADLINE_MS / 1000 + CONTACT_S)
        if not exempt and not self.recently_paused(instance):
            self.checker.report_violation(f"{request_id} received no answer from {instance.name}: {error!r}")

    def recently_paused(self, instance):
        """Returns whether a request to the instance may have been delayed by a pause of the process."""
        return instance.paused or self.clock() - instance.resumed_at < DEADLINE_MS / 1000 + 1.5

    async def run(self):
        await self.start()
        await self.wait_until_ready()
        for instance in self.instances:
            for number in range(CALLERS_PER_INSTANCE):
                self.spawn(self.run_caller(instance, number))
            self.spawn(self.run_prober(instance))
        await asyncio.sleep(2)
        await Faults(self).run(self.options.faults_s)
        await self.recover()
        self.closing = True
        await asyncio.gather(*[instance.stop_gracefully() for instance in self.instances])
        return self.checker.violations

    async def recover(self):
        """Checks that every instance serves all requests after the recovery time."""
        await asyncio.sleep(RECOVERY_S)
        served = failed = 0
        async with aiohttp.ClientSession(trace_configs=[self.trace_writes()]) as session:
            for instance in self.instances:
                for kind in ["gather", "one", "once"] * 4:
                    succeeded = await self.send_request(session, instance, kind)
                    served, failed = served + succeeded, failed + (not succeeded)
        if failed:
            self.checker.report_violation(f"{failed} of {served + failed} requests fail after the recovery time")

    async def close(self):
        self.closing = True
        for instance in self.instances:
            instance.kill()
            await instance.store_proxy.stop()
        for task in list(self.tasks):
            task.cancel()
        if self.store_runner is not None:
            await self.store_runner.cleanup()
        for backend in self.backends:
            await backend.stop()
            await self.proxies[backend.service, backend.number].stop()


class Faults:
    """Injects random faults. Faults may overlap; each has a limited duration. Those that are listed twice are twice as likely."""

    def __init__(self, deployment):
        self.deployment, self.random = deployment, deployment.random
        self.kinds = [
            self.kill_instance,
            self.kill_all_instances,
            self.stop_instance,
            self.pause_instance,
            self.reload_instance,
            self.disturb_store_link,
            self.disable_store,
            self.compact_store_history,
            self.lose_write_answers,
            self.crash_server,
            self.degrade_server,
            self.degrade_server,
            self.disturb_server_link,
            self.disturb_server_link,
            self.drain_server,
            self.repartition,
            self.repartition,
            self.evacuate,
        ]

        if deployment.seed >= FIRST_SEED_WITH_STATEMENTS:
            self.kinds += [self.pause_requests, self.pause_requests, self.leave_unannounced, self.leave_unannounced]
        self.with_restores = deployment.seed >= FIRST_SEED_WITH_RESTORES
        if self.with_restores:
            self.kinds += [self.restore_store, self.restore_store]

    async def run(self, seconds):
        end = self.deployment.clock() + seconds
        running = []
        if self.with_restores:
            running.append(asyncio.create_task(self.inject(self.restore_store, self.random.uniform(0.0, seconds))))
        while self.deployment.clock() < end:
            fault = self.random.choice(self.kinds)
            running.append(asyncio.create_task(self.inject(fault)))
            await asyncio.sleep(self.random.uniform(0.1, 1.2))
        await asyncio.gather(*running)
        self.deployment.checker.last_fault = self.deployment.clock()

    async def inject(self, fault, after_s=0.0):
        await asyncio.sleep(after_s)
        self.deployment.checker.last_fault = self.deployment.clock()
        print(f"{self.deployment.clock():7.3f} {fault.__name__} begins", file=self.open_log())
        await fault()
        print(f"{self.deployment.clock():7.3f} {fault.__name__} ends", file=self.open_log())
        self.deployment.checker.last_fault = self.deployment.clock()

    def open_log(self):
        return open(os.path.join(self.deployment.folder, "faults.log"), "a", encoding="utf-8")

    def instance(self):
        return self.random.choice(self.deployment.instances)

    def backend(self):
        return self.random.choice(self.deployment.backends)

    async def sleep_random(self, longest=3.0):
        await asyncio.sleep(self.random.uniform(0.2, longest))

    async def kill_instance(self):
        self.instance().kill()

    async def kill_all_instances(self):
        for instance in self.deployment.instances:
            instance.kill()

    async def stop_instance(self):
        await self.instance().stop_gracefully()

    async def pause_instance(self):
        instance = self.instance()
        instance.paused = True
        self.deployment.checker.begin_disturbance(instance.name)
        instance.signal(signal.SIGSTOP)
        await self.sleep_random()
        instance.signal(signal.SIGCONT)
        instance.paused = False
        instance.resumed_at = self.deployment.clock()
        self.deployment.checker.end_disturbance(instance.name)

    async def reload_instance(self):
        instance = self.instance()
        instance.write_settings()
        instance.signal(signal.SIGHUP)

    async def disturb(self, proxy):
        """Resets the connections of a proxy, or disturbs its link for a random time."""
        disturbance = self.random.choice(["reset", "silent", "oneway", "refuse", "delay"])
        if disturbance == "reset":
            proxy.reset()
            proxy.last_fault_at = self.deployment.clock()
            return
        if disturbance == "delay":
            proxy.delay_s = self.random.uniform(0.01, 0.3)
        else:
            proxy.fault_mode = disturbance
        await self.sleep_random()
        proxy.fault_mode, proxy.delay_s = "none", 0.0
        proxy.last_fault_at = self.deployment.clock()

    async def disturb_store_link(self):
        instance = self.instance()
        self.deployment.checker.begin_disturbance(instance.name)
        await self.disturb(instance.store_proxy)
        self.deployment.checker.end_disturbance(instance.name)

    async def disturb_server_link(self):
        backend = self.backend()
        await self.disturb(self.deployment.proxies[backend.service, backend.number])

    async def disable_store(self):
        self.deployment.checker.begin_disturbance(STORE)
        self.deployment.store.fault_mode = self.random.choice(["refuse", "silent"])
        await self.sleep_random(5.0)
        self.deployment.store.fault_mode = "none"
        self.deployment.checker.end_disturbance(STORE)

    async def restore_store(self):
        """The store is away for a moment and comes back from an older copy, at times again soon after, or around a new version."""
        for _ in range(self.random.choice([1, 1, 2])):
            if self.random.random() < 0.5:
                await self.deployment.write_routes()
                await asyncio.sleep(self.random.uniform(0.0, 1.0))
            await self.write_other_changes()
            self.deployment.checker.begin_disturbance(STORE)
            self.deployment.store.leave(self.random.choice(["refuse", "silent"]))
            await asyncio.sleep(self.random.uniform(0.0, LONGEST_AWAY_S))
            youngest, oldest = COPY_AGE_S
            text = self.deployment.restore_store(youngest * (oldest / youngest) ** self.random.random())
            print(f"{self.deployment.clock():7.3f} {text}", file=self.open_log())
            self.deployment.checker.end_disturbance(STORE)
            if self.random.random() < 0.5:
                await self.deployment.write_routes()
            await self.write_other_changes()
            await asyncio.sleep(self.random.uniform(0.0, 2.0))
            if self.random.random() < 0.5:
                await self.deployment.write_routes()

    async def write_other_changes(self):
        """Other writers of the store change keys of their own, so that revisions are given out."""
        for number in range(self.random.randint(0, OTHER_CHANGES)):
            await self.deployment.store.present.wait()
            await self.deployment.store.write(f"other/{number}", b"1")

    async def compact_store_history(self):
        self.deployment.store.compact_history(len(self.deployment.store.history))

    async def lose_write_answers(self):
        self.deployment.store.lose_write_answers = 2

    async def crash_server(self):
        backend = self.backend()
        if backend.runner is None:
            return
        old = backend.server_id
        await backend.stop()
        await self.sleep_random(4.0)
        await self.deployment.store.put("servers/" + old, None)
        self.deployment.checker.record_leaving_acknowledged(old)
        await self.restart_backend(backend)

    async def degrade_server(self):
        backend = self.backend()
        backend.fault_mode = self.random.choice(["slow", "failing", "full", "silent", "losing"])
        await self.sleep_random()
        backend.fault_mode = "none"

    async def drain_server(self):
        """Removes a server, announcing it as draining with probability 1/2, and restarts it with a new id."""
        backend = self.backend()
        if backend.runner is None or backend.server_id in self.deployment.checker.leaving:
            return
        old = backend.server_id
        if self.random.random() < 0.5:
            await self.deployment.store.put("servers/" + old, backend.registration("draining"))
        else:
            await self.deployment.store.put("servers/" + old, None)
        self.deployment.checker.record_leaving_acknowledged(old)
        # Longer than DRAIN_S, so that no instance may still send requests when the server stops.
        await asyncio.sleep(3.2 + (self.random.uniform(0.0, 6.0) if self.with_restores else 0.0))
        if self.with_restores and backend.server_id != old:
            return  # Another fault has replaced the server meanwhile.
        await self.deployment.store.put("servers/" + old, None)
        await backend.stop()
        await self.restart_backend(backend)

    async def pause_requests(self):
        """All servers of a service, or one, reject requests and ask for a pause."""
        chosen = self.backend()
        whole_service = self.random.random() < 0.3
        paused = [backend for backend in self.deployment.backends if backend is chosen or (whole_service and backend.service == chosen.service)]
        for backend in paused:
            backend.fault_mode = "pausing"
        await self.sleep_random()
        for backend in paused:
            if backend.fault_mode == "pausing":
                backend.fault_mode = "none"

    async def leave_unannounced(self):
        """A server states in its answers that it leaves, while its entry lapses and comes back unchanged. A new one replaces it."""
        backend = self.backend()
        if backend.runner is None or backend.server_id in self.deployment.checker.leaving:
            return
        old = backend.server_id
        backend.fault_mode = "leaving"
        if self.random.random() < 0.5:
            await self.sleep_random(1.0)
            await self.deployment.store.put("servers/" + old, None)
            await self.deployment.store.put("servers/" + old, backend.registration())
        await asyncio.sleep(5.0)  # Longer than DRAIN_S, so that requests that arrive too late are seen.
        if backend.runner is None or backend.server_id != old or old in self.deployment.checker.leaving:
            return  # Another fault has ended the server meanwhile.
        await self.deployment.store.put("servers/" + old, None)
        self.deployment.checker.record_leaving_acknowledged(old)
        await backend.stop()
        await self.restart_backend(backend)

    async def restart_backend(self, backend):
        if backend.runner is not None:
            return  # Another fault has restarted the server meanwhile.
        await backend.start()
        await self.deployment.store.put("servers/" + backend.server_id, backend.registration())

    async def repartition(self):
        await self.deployment.write_routes()

    async def evacuate(self):
        """Takes a failure domain out of service and back in."""
        domain = self.random.choice(DOMAINS)
        key = "op/evacuate/" + domain
        await self.deployment.store.put(key, b"{}")
        self.deployment.checker.evacuated.setdefault(domain, self.deployment.clock())
        await self.sleep_random(12.0 if self.with_restores else 4.0)
        self.deployment.checker.evacuated.pop(domain, None)
        await self.deployment.store.put(key, None)


async def run_seed(seed, options, net):
    deployment = Deployment(seed, options, net)
    try:
        violations = await deployment.run()
    except Exception as error:  # The started processes must be stopped after any error.
        violations = [repr(error)]
        raise
    finally:
        await deployment.close()
    with open(os.path.join(deployment.folder, "violations.log"), "w", encoding="utf-8") as file:
        file.writelines(violation + "\n" for violation in violations)
    total = deployment.served + deployment.failed
    bound = deployment.checker.bound_answers
    print(f"seed {seed} {'BROKEN' if violations else 'ok'} requests={total} served={deployment.served / max(total, 1):.3f} bound-to-version={bound} logs={deployment.folder}", flush=True)
    return violations


async def run_in_process(seed, options, net):
    """Runs the seed in a process of its own, so that runs at the same time do not delay each other's event loop. Returns whether it is ok."""
    command = [sys.executable, os.path.abspath(__file__), f"--seeds={seed}", f"--net={net}", f"--build={options.build}", f"--instances={options.instances}"]
    command += [f"--faults-s={options.faults_s}", f"--keep={options.keep}"]
    process = await asyncio.create_subprocess_exec(*command)
    return await process.wait() == 0


async def run_all(seeds, options):
    """Runs the seeds, several at once, each on a loopback network of its own. Returns whether all are ok."""
    free_nets = asyncio.Queue()
    for offset in range(options.at_once):
        free_nets.put_nowait(options.net + offset)

    async def run_on_free_net(seed):
        net = await free_nets.get()
        try:
            return await run_in_process(seed, options, net)
        finally:
            free_nets.put_nowait(net)

    return all(await asyncio.gather(*[run_on_free_net(seed) for seed in seeds]))


def parse_seeds(text):
    """Parses comma-separated seeds or ranges FIRST-LAST."""
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


async def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", default="1", help="comma-separated seeds or ranges FIRST-LAST")
    parser.add_argument("--build", default=os.environ.get("RAGWORT_BUILD", os.path.join(ROOT, "build")))
    parser.add_argument("--instances", type=int, default=6)
    parser.add_argument("--faults-s", type=float, default=12.0, dest="faults_s")
    parser.add_argument("--at-once", type=int, default=1, dest="at_once", help="number of seeds that run in parallel")
    parser.add_argument("--keep", help="directory for logs")
    parser.add_argument("--net", type=int, default=20, help="the first loopback network, 127.NET.0.0/16; seeds in parallel use the following ones")
    options = parser.parse_args()
    options.keep = options.keep or tempfile.mkdtemp(prefix="ragwort-soak-")
    seeds = parse_seeds(options.seeds)
    if len(seeds) > 1:
        ok = await run_all(seeds, options)
    else:
        ok = not await run_seed(seeds[0], options, options.net)
    sys.exit(0 if ok else 1)


if __name__ == "__main__":
    asyncio.run(main())
