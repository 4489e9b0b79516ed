#!/usr/bin/python3
"""Checks with real processes that a confirmed version of the routes comes into force, whatever the metadata store does.

    test/config_in_force.py [--only NAME,NAME] [--seeds 1,2] [--ci] [--build DIR] [--at-once N] [--keep DIR] [--list]

Each run of a scenario is a fleet of entry processes, backend servers and an emulated store on a loopback network of its own. A run ends
with one line of key=value pairs; the exit code is 0 if all runs are ok. With --ci, no timing is asserted: every version must come into
force at all, none may be followed by an older one, and a removed route must disappear. Without it, the bounds of the platform hold.
"""

import argparse
import asyncio
import itertools
import json
import os
import random
import signal
import sys
import tempfile

import aiohttp
from aiohttp import web

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "test", "soak"))

import soak  # noqa: E402
from restored_store import RestoredStore  # noqa: E402
from stand_in import Backend, Proxy, signed_service  # noqa: E402

# The platform's bounds from the acknowledgement of a version, of a server's leave and of an evacuation.
APPLY_S, DRAIN_S, EVACUATE_S = 3.0, 3.0, 5.0
# Time within which a version must come into force with --ci.
AT_ALL_S = 15.0
# Time within which all instances must answer at the start of a run.
READY_S = 15.0
# The versions in force are told apart by the service of the route /move/: this many services take turns.
TURNS = 10
PROBE_PAUSE_S = 0.04
# Port at which an instance listens for peers: the first of its range.
PEERS_PORT = 7740
PROBE_TIMEOUT_S = 1.5
# Time after its start for which an instance need not answer.
START_S = 2.0
# Time for which a run goes on after all versions are in force, so that instances that go back are seen.
LINGER_S = 2.0


class Address:
    """Stands for the proxy that the stand-in of a server is listed under: the server itself."""

    def __init__(self, address):
        self.listen = address
        self.fault_mode, self.delay_s, self.last_fault_at = "none", 0.0, -100.0


class Entry(soak.Instance):
    """An entry instance in one of any number of domains."""

    def __init__(self, fleet, number):
        super().__init__(fleet, number)
        self.domain = fleet.domains[number % len(fleet.domains)]
        # Versions that have been seen in this life of the process: the latest.
        self.seen, self.seen_in = 0, 0
        # Whether a test keeps the process from running or from the store; since when neither is so.
        self.cut_off = False
        self.calm_since = 0.0
        self.peer_proxy = None

    def write_settings(self):
        super().write_settings()
        if self.deployment.bootstrap:
            with open(self.settings, "a", encoding="utf-8") as file:
                file.write("bootstrap=true\n")

    async def launch(self):
        await super().launch()
        self.calm_since = self.deployment.clock()

    def pause(self):
        self.paused = True
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)
        self.paused = False
        self.calm_since = self.resumed_at = self.deployment.clock()

    def cut(self, fault_mode="silent"):
        self.cut_off = True
        self.store_proxy.fault_mode = fault_mode
        if fault_mode == "refuse":
            self.store_proxy.reset()

    def rejoin(self):
        self.store_proxy.fault_mode = "none"
        self.cut_off = False
        self.calm_since = self.deployment.clock()

    def must_answer(self):
        running = self.process is not None and self.process.returncode is None and not self.ending
        return running and not self.paused and self.deployment.clock() - max(self.launched_at, self.resumed_at) > START_S


class Fleet:
    """The processes, servers and store of one run. Also what soak.Instance and Backend need of a deployment."""

    def __init__(self, seed, options, net, folder, instances=6, domains="abcd", bootstrap=False, starts_itself=False):
        self.random = random.Random(seed)
        self.seed, self.net, self.build, self.folder, self.ci = seed, net, options.build, folder, options.ci
        self.domains, self.bootstrap, self.cpu_share = domains, bootstrap, soak.STRONG_CPU_SHARE
        self.starts_itself = bootstrap or starts_itself
        os.makedirs(folder, exist_ok=True)
        self.closing, self.tasks = False, set()
        self.started = asyncio.get_running_loop().time()
        self.checker = self
        self.store = RestoredStore(seed)
        self.store_address = (f"127.{net}.1.1", 8100)
        self.store_runner = None
        self.store.rewrite = self.rewrite_entry
        self.entries = [Entry(self, number) for number in range(instances)]
        # Between each instance and the peers that connect to it, by the address that the instance writes.
        self.peer_proxies = {}
        self.proxies, self.backends = {}, []
        self.version = 0
        self.texts = {}
        # Time of the last acknowledgement of each version.
        self.acknowledged = {}
        # By version and instance: when it was first seen in force, and the delay that counts.
        self.in_force = {}
        self.leaving, self.evacuated = {}, {}
        self.ids = itertools.count(1)
        self.violations, self.unserved, self.served, self.late_arrivals = [], {}, 0, {}
        self.first_unserved = None
        self.log = open(os.path.join(folder, "run.log"), "a", encoding="utf-8")

    def rewrite_entry(self, _key, value):
        """Makes peers connect to an instance through its proxy: replaces its address in the entry that it writes."""
        for address, proxy in self.peer_proxies.items():
            value = value.replace(address.encode(), "{}:{}".format(*proxy.listen).encode())
        return value

    async def start_peer_proxies(self):
        for entry in self.entries:
            entry.peer_proxy = Proxy((f"127.{self.net}.2.{entry.number + 1}", PEERS_PORT), (entry.ip, PEERS_PORT))
            self.peer_proxies[f"{entry.ip}:{PEERS_PORT}"] = entry.peer_proxy
            await entry.peer_proxy.start()

    def begin_disturbance(self, name):
        """Called by the soak's instances. Each scenario knows by itself what it disturbs."""

    def end_disturbance(self, name):
        """The counterpart of begin_disturbance()."""

    def clock(self):
        return asyncio.get_running_loop().time() - self.started

    def note(self, text):
        print(f"{self.clock():7.3f} {text}", file=self.log, flush=True)

    def report_violation(self, text):
        self.note("VIOLATION " + text)
        self.violations.append(text)

    def spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # What the stand-in of a server reports.

    def record_arrival(self, backend, _request_id):
        server, now = backend.server_id, self.clock()
        late = None
        if server in self.leaving and now - self.leaving[server] > DRAIN_S:
            late = f"server {server} that left"
        if backend.domain in self.evacuated and now - self.evacuated[backend.domain] > EVACUATE_S:
            late = f"evacuated domain {backend.domain}"
        if late:
            if late not in self.late_arrivals:
                self.note(f"late arrival at {late}")
            first, _, count = self.late_arrivals.get(late, (now, now, 0))
            self.late_arrivals[late] = (first, now, count + 1)

    def record_run(self, backend, request, request_id):
        pass

    # The platform's side.

    async def start_platform(self):
        self.store_runner = web.ServerRunner(web.Server(self.store.handle, access_log=None), shutdown_timeout=0)
        await self.store_runner.setup()
        await web.TCPSite(self.store_runner, *self.store_address, reuse_address=True).start()
        self.spawn(self.store.expire_leases())
        for turn in range(TURNS):
            for number, domain in enumerate(self.domains):
                address = (f"127.{self.net}.{10 + turn}.{number + 1}", 8142)
                backend = Backend(f"s{turn}", number, address, domain, self)
                self.proxies[backend.service, number] = Address(address)
                await backend.start()
                self.backends.append(backend)
                await self.store.write("servers/" + backend.server_id, backend.registration())
        await self.start_peer_proxies()
        await self.write_version()

    async def write_version(self):
        """Writes the next version: it adds a route, drops the one that only the version before has, and moves one to the next service."""
        self.version += 1
        common = {"host": "h", "timeout_ms": 3000, "target_latency_ms": 300, "max_attempts": 3, "priority": 1, "kind": "safe"}
        routes = [{**common, "name": "move", "prefix": "/move/", "service": f"s{self.version % TURNS}"}]
        routes += [{**common, "name": f"add{each}", "prefix": f"/add{each}/", "service": "s0"} for each in range(1, self.version + 1)]
        routes += [{**common, "name": f"only{self.version}", "prefix": f"/only{self.version}/", "service": "s1"}]
        services = [{"name": f"s{turn}", "max_conns": 60, "warmup_s": 0, "warmup_per_s": 0} for turn in range(TURNS)]
        limits = {"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000, "idle_ms": 15000}
        text = json.dumps({"version": self.version, "routes": routes, "services": services, "limits": limits})
        self.texts[self.version] = text.encode()
        await self.put_version()

    async def put_version(self):
        await self.store.write("op/config", self.texts[self.version])
        self.acknowledged[self.version] = self.clock()
        self.note(f"version {self.version} acknowledged at {self.store.era}:{self.store.revision}")

    async def put_lost_version_again(self):
        if self.store.value("op/config") != self.texts[self.version]:
            await self.put_version()

    async def heartbeats(self, number):
        """Writes entries of servers again, as if more than their sequence had changed."""
        for index in range(number):
            backend = self.backends[index % len(self.backends)]
            state = "draining" if backend.server_id in self.leaving else "ready"
            await self.store.write("servers/" + backend.server_id, backend.registration(state))

    async def other_writes(self, number):
        for index in range(number):
            await self.store.write(f"status/n{index % 5}", b"{}")

    async def restore(self, away_s=0.4, first=None):
        """The store is away for a time and comes back from the kept copy; \\p first is written before it takes calls."""
        self.note(f"store goes away at {self.store.era}:{self.store.revision}")
        self.store.go_away()
        await asyncio.sleep(away_s)
        self.store.load_copy()
        self.note(f"store comes back at {self.store.era}:{self.store.revision}")
        if first is not None:
            await first()
        self.store.come_back()

    async def outage(self, mode, seconds):
        if mode == "away":
            self.store.go_away()
        else:
            self.store.fault_mode = mode
        await asyncio.sleep(seconds)
        self.store.come_back()
        self.note(f"store answers again after {mode}")

    async def leave(self, backend, state):
        """The server says that it drains (state draining) or its entry is removed (state None)."""
        await self.store.write("servers/" + backend.server_id, backend.registration(state) if state else None)
        self.leaving.setdefault(backend.server_id, self.clock())
        self.note(f"server {backend.server_id} {state or 'gone'}")

    # The callers.

    async def start_entries(self):
        for entry in self.entries:
            await self.start_entry(entry)

    async def start_entry(self, entry):
        await entry.start()
        self.spawn(self.probe(entry))

    async def get(self, session, entry, path):
        """Returns the status and the service that ran the request; status 0 if there was no answer."""
        request_id = f"{self.seed:x}-{next(self.ids):x}"
        headers = {"Host": "h", "X-Request-Id": request_id, "X-Deadline-Ms": "1200"}
        try:
            url, timeout = f"http://{entry.ip}:8226{path}{request_id}", aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
            async with session.get(url, headers=headers, timeout=timeout) as answer:
                await answer.read()
                return answer.status, signed_service(answer.headers.get("X-Server-Stamp", ""), request_id)
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return 0, None

    def count(self, entry, sent_at, status, what):
        if status == 200:
            self.served += 1
        elif entry.must_answer() and sent_at - max(entry.launched_at, entry.resumed_at) > START_S:
            self.unserved[status] = self.unserved.get(status, 0) + 1
            if self.first_unserved is None:
                self.first_unserved = f"{self.clock():.3f}:{entry.name}:{what}:{status}"
            self.note(f"unserved {entry.name} {what} {status}")

    async def probe(self, entry):
        """Asks an instance in turn which version is in force, without end."""
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=1)) as session:
            while not self.closing:
                await self.probe_once(session, entry)
                await asyncio.sleep(PROBE_PAUSE_S)

    async def probe_once(self, session, entry):
        sent_at, incarnation, newest = self.clock(), entry.incarnation, self.version
        status, service = await self.get(session, entry, "/move/")
        self.count(entry, sent_at, status, "move")
        if incarnation != entry.incarnation:
            return
        if entry.seen_in != incarnation:
            entry.seen, entry.seen_in = 0, incarnation
        if status == 200:
            turn = int(service[1:])
            # The latest version whose turn it is; TURNS - 1 versions may be on their way.
            self.record_version(entry, max(version for version in range(max(1, self.version - TURNS + 1), self.version + 1) if version % TURNS == turn))
        if newest <= 1 or entry.seen < newest:
            return
        status, _ = await self.get(session, entry, f"/add{newest}/")
        self.count(entry, sent_at, status, f"add{newest}")
        status, _ = await self.get(session, entry, f"/only{newest - 1}/")
        if status == 200 and incarnation == entry.incarnation:
            self.report_violation(f"{entry.name} serves a route that version {newest} has removed")

    def record_version(self, entry, version):
        now = self.clock()
        if version < entry.seen:
            self.report_violation(f"{entry.name} went back from version {entry.seen} to {version}")
        if version > entry.seen:
            self.note(f"{entry.name}#{entry.incarnation} version {version}")
        entry.seen = max(entry.seen, version)
        for each in range(1, version + 1):
            if (each, entry.name) not in self.in_force:
                # Time that the instance, or the store for all of them, was kept from working does not count.
                # A later version includes the earlier ones.
                since = max(self.acknowledged[each], entry.calm_since if not entry.cut_off else 0.0)
                self.in_force[each, entry.name] = max(now - since, 0.0)

    async def wait_ready(self):
        end = self.clock() + READY_S
        while self.clock() < end:
            if all(entry.seen >= self.version for entry in self.entries if entry.process is not None):
                return
            await asyncio.sleep(0.05)
        behind = [f"{entry.name}:{entry.seen}" for entry in self.entries if entry.seen < self.version]
        self.report_violation(f"not at version {self.version} {READY_S:.0f} s after the start: {' '.join(behind)}")

    async def wait_in_force(self):
        """Waits until the newest version is in force at every instance, in the present life of each."""
        end = self.clock() + AT_ALL_S
        while self.clock() < end:
            if all(entry.seen >= self.version and entry.seen_in == entry.incarnation for entry in self.entries if not entry.cut_off):
                return
            await asyncio.sleep(0.02)
        for entry in self.entries:
            if entry.seen < self.version and not entry.cut_off:
                self.report_violation(f"version {self.version} not in force at {entry.name} {AT_ALL_S:.0f} s after its acknowledgement: {entry.seen}")

    async def check_own_entries(self):
        """Checks that every instance's own entry is in the store."""
        end = self.clock() + AT_ALL_S
        missing = self.entries
        while self.clock() < end:
            missing = [entry.name for entry in self.entries if not any(key.startswith("ragwort/") and key.endswith("/" + entry.name) for key in self.store.items)]
            if not missing:
                return
            await asyncio.sleep(0.1)
        self.report_violation(f"own entries missing: {missing}")

    def worst_delay(self):
        """Returns the worst delay of any version after the first, and whose it was."""
        missing = [(self.clock() - since, f"v{version}@{entry.name}-never") for version, since in self.acknowledged.items() if version > 1
                   for entry in self.entries if (version, entry.name) not in self.in_force]
        return max([(delay, f"v{version}@{name}") for (version, name), delay in self.in_force.items() if version > 1] + missing, default=(0.0, "-"))

    def finish(self):
        delay, whose = self.worst_delay()
        if not self.ci:
            if delay > APPLY_S:
                self.report_violation(f"{whose} in force after {delay:.2f} s")
            for what, (first, last, number) in self.late_arrivals.items():
                self.report_violation(f"{number} requests at {what}, from {first:.2f} to {last:.2f} s")

    async def close(self):
        self.closing = True
        for entry in self.entries:
            if entry.paused:
                entry.resume()
            entry.kill()
            if entry.store_proxy.server is not None:
                await entry.store_proxy.stop()
            if entry.peer_proxy is not None:
                await entry.peer_proxy.stop()
        for task in list(self.tasks):
            task.cancel()
        if self.store_runner is not None:
            await self.store_runner.cleanup()
        for backend in self.backends:
            await backend.stop()


# The scenarios. Each begins with a fleet in which version 1 is in force at all instances, unless it starts the instances itself.


async def first_write(fleet):
    """A few lost writes; the change is the first thing written, and the servers' entries follow before an instance asks again."""
    await fleet.write_version()
    await fleet.wait_in_force()
    fleet.store.keep_copy()
    await fleet.heartbeats(fleet.random.randint(2, 4))
    # The instances learn what is lost later.
    await asyncio.sleep(0.5)

    async def first():
        await fleet.write_version()
        await fleet.heartbeats(8)

    await fleet.restore(fleet.random.uniform(0.05, 1.0), first)
    await fleet.wait_in_force()


async def far_behind(fleet):
    """30 to 40 lost writes; a change after the return, and a further one later."""
    fleet.store.keep_copy()
    await fleet.heartbeats(fleet.random.randint(30, 40))
    await asyncio.sleep(0.5)
    await fleet.restore(fleet.random.uniform(0.05, 1.0))
    await asyncio.sleep(fleet.random.uniform(0.0, 1.0))
    await fleet.write_version()
    await fleet.wait_in_force()
    await asyncio.sleep(1.0)
    await fleet.write_version()
    await fleet.wait_in_force()


async def lost_version(fleet):
    """A version that is in force is itself lost, and written again 1 to 2 s after the return; then a further one."""
    fleet.store.keep_copy()
    await fleet.heartbeats(3)
    await fleet.write_version()
    await fleet.wait_in_force()
    await asyncio.sleep(0.5)
    await fleet.restore(fleet.random.uniform(0.05, 1.0))
    await asyncio.sleep(fleet.random.uniform(1.0, 2.0))
    await fleet.put_lost_version_again()
    await fleet.wait_in_force()
    await fleet.write_version()
    await fleet.wait_in_force()


async def twice(fleet):
    """Two restores, one after the other."""
    for _ in range(2):
        fleet.store.keep_copy()
        await fleet.heartbeats(fleet.random.randint(3, 30))
        await asyncio.sleep(0.3)
        await fleet.restore(0.3, fleet.write_version)
        await fleet.wait_in_force()
        await asyncio.sleep(0.5)


async def twice_at_once(fleet):
    """A second restore while the first one is being caught up, on a store whose lists take several pages."""
    fleet.store.page_items = 4
    fleet.store.keep_copy()
    await fleet.heartbeats(fleet.random.randint(3, 30))
    await asyncio.sleep(0.3)
    await fleet.restore(0.2)
    await asyncio.sleep(fleet.random.choice([0.0, 0.005, 0.01, 0.02, 0.05, 0.1, 0.3]))
    await fleet.heartbeats(fleet.random.randint(3, 30))
    await fleet.restore(fleet.random.choice([0.0, 0.05]), fleet.write_version)
    await fleet.wait_in_force()


async def one_cut_off(fleet):
    """One instance is cut off from the store across the restore; later ones come by its peers, and from the store once it is back."""
    entry = fleet.random.choice(fleet.entries)
    entry.cut(fleet.random.choice(["silent", "refuse"]))
    await asyncio.sleep(0.5)
    fleet.store.keep_copy()
    await fleet.heartbeats(fleet.random.randint(3, 30))
    await asyncio.sleep(0.5)
    await fleet.restore(0.4, fleet.write_version)
    await fleet.wait_in_force()
    await asyncio.sleep(2.0)
    entry.rejoin()
    await fleet.wait_in_force()
    await fleet.write_version()
    await fleet.wait_in_force()


async def one_paused(fleet):
    """One instance is paused across the restore."""
    entry = fleet.random.choice(fleet.entries)
    fleet.store.keep_copy()
    await fleet.heartbeats(fleet.random.randint(3, 30))
    await asyncio.sleep(0.2)
    entry.pause()
    entry.cut_off = True
    await fleet.restore(0.4, fleet.write_version)
    await fleet.heartbeats(fleet.random.choice([0, 8, 32]))
    await fleet.wait_in_force()
    await asyncio.sleep(fleet.random.uniform(0.5, 2.0))
    entry.resume()
    entry.cut_off = False
    await fleet.wait_in_force()


async def all_killed(fleet):
    """All instances are killed and started again as the store returns."""
    fleet.store.keep_copy()
    await fleet.heartbeats(fleet.random.randint(3, 30))

    async def first():
        for entry in fleet.entries:
            entry.kill()
        await fleet.write_version()

    await fleet.restore(0.4, first)
    await asyncio.sleep(fleet.random.uniform(0.0, 1.0))
    await fleet.write_version()
    await fleet.wait_in_force()


async def one_starts(fleet):
    """One instance starts while the store comes back."""
    entry = fleet.random.choice(fleet.entries)
    fleet.store.keep_copy()
    await fleet.heartbeats(fleet.random.randint(3, 30))
    entry.kill()
    await asyncio.sleep(fleet.random.uniform(0.1, 0.4))
    await fleet.restore(fleet.random.uniform(0.02, 0.4), fleet.write_version)
    await fleet.wait_in_force()
    await fleet.check_own_entries()


async def lost_leaves(fleet):
    """In the lost seconds a server drains, one leaves and one starts anew at its address; they say so again 1 to 2 s after the return."""
    fleet.store.keep_copy()
    drained, gone, restarted = fleet.backends[0], fleet.backends[1], fleet.backends[2]
    await fleet.leave(drained, "draining")
    await fleet.leave(gone, None)
    old = restarted.server_id
    await fleet.store.write("servers/" + old, None)
    restarted.incarnation += 1
    restarted.server_id = f"{restarted.service}-{restarted.number}-{restarted.incarnation}"
    await fleet.store.write("servers/" + restarted.server_id, restarted.registration())
    await asyncio.sleep(fleet.random.uniform(1.0, 3.5))
    await fleet.restore(fleet.random.uniform(0.1, 1.0), fleet.write_version)
    await asyncio.sleep(fleet.random.uniform(1.0, 2.0))
    await fleet.leave(drained, "draining")
    await fleet.leave(gone, None)
    await fleet.store.write("servers/" + old, None)
    await fleet.store.write("servers/" + restarted.server_id, restarted.registration())
    await fleet.wait_in_force()
    await asyncio.sleep(3.5)


async def lost_evacuation(fleet):
    """In the lost seconds a domain is evacuated and another one taken back; the operator writes both again 1 to 2 s after the return."""
    await fleet.store.write("op/evacuate/b", b"{}")
    fleet.evacuated["b"] = fleet.clock()
    await asyncio.sleep(0.5)
    fleet.store.keep_copy()
    await fleet.store.write("op/evacuate/a", b"{}")
    fleet.evacuated["a"] = fleet.clock()
    await fleet.store.write("op/evacuate/b", None)
    del fleet.evacuated["b"]
    await asyncio.sleep(fleet.random.uniform(4.0, 6.0))
    await fleet.restore(fleet.random.uniform(0.1, 1.0), fleet.write_version)
    await asyncio.sleep(fleet.random.uniform(1.0, 2.0))
    await fleet.store.write("op/evacuate/a", b"{}")
    await fleet.store.write("op/evacuate/b", None)
    await fleet.wait_in_force()
    await asyncio.sleep(4.0)


async def no_era(fleet):
    """A store that does not state its era and is never restored; an outage."""
    fleet.store.era_text = lambda: None
    await asyncio.sleep(0.5)
    await fleet.write_version()
    await fleet.wait_in_force()
    await fleet.outage("away", 1.5)
    await fleet.write_version()
    await fleet.wait_in_force()


async def nonsense_era(fleet):
    """A store that states its era in some answers and anything else in others."""
    era = fleet.store.era
    fleet.store.era_text = lambda: fleet.store.random.choice([str(era), "", "x", "-1", "5.5", None])
    for _ in range(3):
        await asyncio.sleep(0.5)
        await fleet.write_version()
        await fleet.wait_in_force()


async def era_down_once(fleet):
    """A lower era in a few answers."""
    low = [3 * len(fleet.entries)]

    def text():
        low[0] -= 1
        return str(fleet.store.era - 1 if low[0] >= 0 else fleet.store.era)

    fleet.store.era_text = text
    await fleet.heartbeats(2)
    await fleet.write_version()
    await fleet.wait_in_force()
    await fleet.write_version()
    await fleet.wait_in_force()


async def era_down_for_good(fleet):
    """The era goes down by one and stays there, with no restore. The pages exclude it."""
    fleet.store.era -= 1
    await fleet.heartbeats(2)
    await fleet.write_version()
    await fleet.wait_in_force()


async def era_too_high_once(fleet):
    """One answer states an era that is far too high. The pages exclude it."""
    high = [1]

    def text():
        high[0] -= 1
        return str(2**63 if high[0] >= 0 else fleet.store.era)

    fleet.store.era_text = text
    await fleet.heartbeats(2)
    await fleet.write_version()
    await fleet.wait_in_force()


async def stale_first_start(fleet):
    """A first start whose reads are 3 s old, with changes just before and during it, and pages of several ages."""
    fleet.store.stale_s, fleet.store.page_items = 3.0, 50
    await start_over_changes(fleet)


async def mixed_pages_first_start(fleet):
    """A first start whose lists have small pages from copies of different age."""
    fleet.store.stale_s, fleet.store.page_items, fleet.store.mixed_ages = 3.0, 3, True
    await start_over_changes(fleet)


async def start_over_changes(fleet):
    await asyncio.sleep(4.0)
    await fleet.write_version()
    await asyncio.sleep(fleet.random.uniform(0.0, 1.0))
    await fleet.start_entries()
    await asyncio.sleep(fleet.random.uniform(0.0, 1.0))
    await fleet.write_version()
    await fleet.wait_in_force()
    await asyncio.sleep(1.0)
    await fleet.write_version()
    await fleet.wait_in_force()


async def refused(fleet):
    """The store answers 503 for 3 s; a change comes at its return."""
    await fleet.outage("refuse", 3.0)
    await fleet.write_version()
    await fleet.wait_in_force()


async def reset(fleet):
    """The store resets connections for 3 s; a change comes at its return."""
    await fleet.outage("away", 3.0)
    await fleet.write_version()
    await fleet.wait_in_force()


async def silent(fleet):
    """The store is silent for 3 s; a change comes at its return."""
    await fleet.outage("silent", 3.0)
    await fleet.write_version()
    await fleet.wait_in_force()


async def held_watch(fleet):
    """All watches that wait are held and never answered."""
    fleet.store.hold_watches()
    await asyncio.sleep(fleet.random.uniform(0.0, 1.0))
    await fleet.write_version()
    await fleet.wait_in_force()


async def history_dropped(fleet):
    """The history is dropped as a change comes, during an outage too."""
    await fleet.heartbeats(5)
    await fleet.write_version()
    fleet.store.compact_history(len(fleet.store.history))
    await fleet.wait_in_force()
    await fleet.outage("away", 1.0)
    await fleet.write_version()
    fleet.store.compact_history(len(fleet.store.history))
    await fleet.wait_in_force()


async def relay_killed_all(fleet):
    """All of twelve instances are killed as a version comes; a further one comes a second later."""
    for _ in range(6):
        await fleet.write_version()
        await asyncio.sleep(0.15)
    await fleet.wait_in_force()
    for entry in fleet.entries:
        entry.kill()
    await fleet.write_version()
    await asyncio.sleep(1.0)
    await fleet.write_version()
    await fleet.wait_in_force()


async def relay_killed_slow(fleet):
    """The same while one instance's way to the store is slow."""
    fleet.random.choice(fleet.entries).store_proxy.delay_s = 0.3
    await relay_killed_all(fleet)


async def relay_killed_cut(fleet):
    """The same while one instance is cut off from the store after its start."""
    entry = fleet.random.choice(fleet.entries)
    cutting = asyncio.create_task(cut_later(entry))
    await relay_killed_all(fleet)
    await cutting
    entry.rejoin()
    await fleet.write_version()
    await fleet.wait_in_force()


async def changes_at_start(fleet):
    """Versions every half second from the start of the processes on, each way to the store a little slow."""
    for entry in fleet.entries:
        entry.kill()
        entry.store_proxy.delay_s = fleet.random.choice([0.0, 0.02])
    for _ in range(7):
        await asyncio.sleep(0.5)
        await fleet.write_version()
    await fleet.wait_in_force()


async def slow_start(fleet):
    """The same with a quarter of a second each way."""
    for entry in fleet.entries:
        entry.store_proxy.delay_s = 0.25
        entry.kill()
    for _ in range(7):
        await asyncio.sleep(0.5)
        await fleet.write_version()
    await fleet.wait_in_force()


async def fresh_start(fleet):
    """All instances start for the first time, while versions come."""
    await fleet.start_entries()
    for _ in range(fleet.random.randint(3, 7)):
        await asyncio.sleep(fleet.random.uniform(0.1, 0.5))
        await fleet.write_version()
    await fleet.wait_in_force()


async def fresh_start_slow(fleet):
    """The same with a quarter of a second each way to the store."""
    for entry in fleet.entries:
        entry.store_proxy.delay_s = 0.25
    await fresh_start(fleet)


async def new_instances(fleet):
    """Instances with new names join, one by one, while versions come."""
    joining = fleet.entries[6:]
    for entry in fleet.entries[:6]:
        await fleet.start_entry(entry)
    while fleet.entries[5].seen < 1:
        await asyncio.sleep(0.05)
    for entry in joining:
        entry.calm_since = fleet.clock()
        await fleet.start_entry(entry)
        await asyncio.sleep(fleet.random.uniform(0.1, 0.6))
        await fleet.write_version()
    await fleet.wait_in_force()


async def new_instances_slow(fleet):
    """Instances with new names join all at once, with a quarter of a second each way to the store, while versions come."""
    for entry in fleet.entries[:6]:
        await fleet.start_entry(entry)
    while any(entry.seen < 1 for entry in fleet.entries[:6]):
        await asyncio.sleep(0.05)
    for entry in fleet.entries[6:]:
        entry.store_proxy.delay_s = 0.25
        await fleet.start_entry(entry)
    for _ in range(8):
        await fleet.write_version()
        await asyncio.sleep(fleet.random.uniform(0.1, 0.3))
    await fleet.wait_in_force()


async def disturb_peers(fleet, disturb):
    """Disturbs what two instances send to or receive from peers that connected to them, while versions come."""
    chosen = fleet.random.sample(fleet.entries, 2)
    for entry in chosen:
        disturb(entry.peer_proxy)
        fleet.note(f"peers of {entry.name} are disturbed")
    for _ in range(3):
        await asyncio.sleep(fleet.random.uniform(0.0, 1.0))
        await fleet.write_version()
        await fleet.wait_in_force()
    for entry in chosen:
        entry.peer_proxy.fault_mode, entry.peer_proxy.delay_s = "none", 0.0
    await fleet.write_version()
    await fleet.wait_in_force()


async def relay_links_slow(fleet):
    """Links of two of twelve instances are slow by a random time of up to 1.2 s each way."""
    delay_s = fleet.random.uniform(0.2, 1.2)
    await disturb_peers(fleet, lambda proxy: setattr(proxy, "delay_s", delay_s))


async def relay_links_silent(fleet):
    """Links of two of twelve instances carry nothing."""
    await disturb_peers(fleet, lambda proxy: setattr(proxy, "fault_mode", "silent"))


async def relay_links_oneway(fleet):
    """Links of two of twelve instances carry messages in one direction only."""
    await disturb_peers(fleet, lambda proxy: setattr(proxy, "fault_mode", "oneway"))


async def relay_links_reset(fleet):
    """Links of two of twelve instances are reset and refused."""

    def refuse(proxy):
        proxy.fault_mode = "refuse"
        proxy.reset()

    await disturb_peers(fleet, refuse)


async def relay_slow_killed(fleet):
    """All of twelve instances are killed as a version comes, while links of two are slow."""
    for entry in fleet.random.sample(fleet.entries, 2):
        entry.peer_proxy.delay_s = fleet.random.uniform(0.2, 1.2)
    await relay_killed_all(fleet)


async def relay_silent_killed(fleet):
    """All of twelve instances are killed as a version comes, while links of two carry nothing."""
    for entry in fleet.random.sample(fleet.entries, 2):
        entry.peer_proxy.fault_mode = "silent"
    await relay_killed_all(fleet)


async def relay_paused_restored(fleet):
    """One of twelve instances is paused while the store comes back from an older copy; links of another one carry nothing."""
    entry, other = fleet.random.sample(fleet.entries, 2)
    fleet.store.keep_copy()
    await fleet.heartbeats(fleet.random.randint(3, 30))
    await asyncio.sleep(0.5)
    entry.pause()
    entry.cut_off = True
    other.peer_proxy.fault_mode = "silent"
    await fleet.restore(fleet.random.uniform(0.05, 0.5), fleet.write_version)
    await fleet.wait_in_force()
    entry.resume()
    entry.cut_off = False
    await fleet.wait_in_force()
    await fleet.write_version()
    await fleet.wait_in_force()


async def relay_silent_restored(fleet):
    """The store comes back from an older copy as the links of some of twelve instances, perhaps relays, carry nothing any more."""
    await silence_and_restore(fleet, fleet.random.sample(fleet.entries, fleet.random.randint(1, 6)))


async def peers_silent_restored(fleet):
    """The same with all links."""
    await silence_and_restore(fleet, fleet.entries)


async def silence_and_restore(fleet, chosen):
    fleet.store.keep_copy()
    await fleet.heartbeats(fleet.random.randint(3, 30))
    await asyncio.sleep(2.5)
    for entry in chosen:
        entry.peer_proxy.fault_mode = "silent"
        fleet.note(f"peers of {entry.name} are silent")
    await fleet.restore(fleet.random.uniform(0.0, 0.3), fleet.write_version)
    await fleet.wait_in_force()
    await fleet.write_version()
    await fleet.wait_in_force()


async def cut_later(entry):
    """Cuts the instance off from the store as soon as its new process has started."""
    incarnation = entry.incarnation
    while entry.incarnation == incarnation:
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.4)
    entry.cut()


async def relay_paused(fleet):
    """One of twelve instances, perhaps a relay, is paused as a version comes."""
    entry = fleet.random.choice(fleet.entries)
    entry.pause()
    entry.cut_off = True
    await asyncio.sleep(fleet.random.uniform(0.0, 1.0))
    await fleet.write_version()
    await fleet.wait_in_force()
    entry.resume()
    entry.cut_off = False
    await fleet.wait_in_force()


async def relay_restored(fleet):
    """The store of twelve instances comes back from an older copy, and a relay may be cut off."""
    entry = fleet.random.choice(fleet.entries)
    if fleet.random.random() < 0.5:
        entry.cut("refuse")
    fleet.store.keep_copy()
    await fleet.heartbeats(fleet.random.randint(3, 30))
    await asyncio.sleep(0.3)
    await fleet.restore(fleet.random.uniform(0.05, 0.5), fleet.write_version)
    await fleet.wait_in_force()
    if entry.cut_off:
        entry.rejoin()
    await fleet.write_version()
    await fleet.wait_in_force()
    await fleet.check_own_entries()


RELAYS = {"instances": 12, "domains": "abc"}
SCENARIOS = {
    "first_write": (first_write, {}),
    "far_behind": (far_behind, {}),
    "lost_version": (lost_version, {}),
    "twice": (twice, {}),
    "twice_at_once": (twice_at_once, {}),
    "one_cut_off": (one_cut_off, {}),
    "one_paused": (one_paused, {}),
    "all_killed": (all_killed, {}),
    "one_starts": (one_starts, {}),
    "lost_leaves": (lost_leaves, {}),
    "lost_evacuation": (lost_evacuation, {}),
    "no_era": (no_era, {}),
    "nonsense_era": (nonsense_era, {}),
    "era_down_once": (era_down_once, {}),
    "era_down_for_good": (era_down_for_good, {}),
    "era_too_high_once": (era_too_high_once, {}),
    "stale_first_start": (stale_first_start, {"bootstrap": True}),
    "mixed_pages_first_start": (mixed_pages_first_start, {"bootstrap": True}),
    "refused": (refused, {}),
    "reset": (reset, {}),
    "silent": (silent, {}),
    "held_watch": (held_watch, {}),
    "history_dropped": (history_dropped, {}),
    "relay_killed_all": (relay_killed_all, RELAYS),
    "relay_killed_slow": (relay_killed_slow, RELAYS),
    "relay_killed_cut": (relay_killed_cut, RELAYS),
    "changes_at_start": (changes_at_start, {}),
    "slow_start": (slow_start, {}),
    "fresh_start": (fresh_start, {"starts_itself": True, **RELAYS}),
    "fresh_start_slow": (fresh_start_slow, {"starts_itself": True, **RELAYS}),
    "new_instances": (new_instances, {"starts_itself": True, **RELAYS}),
    "new_instances_slow": (new_instances_slow, {"starts_itself": True, **RELAYS}),
    "relay_links_slow": (relay_links_slow, RELAYS),
    "relay_links_silent": (relay_links_silent, RELAYS),
    "relay_links_oneway": (relay_links_oneway, RELAYS),
    "relay_links_reset": (relay_links_reset, RELAYS),
    "relay_slow_killed": (relay_slow_killed, RELAYS),
    "relay_silent_killed": (relay_silent_killed, RELAYS),
    "relay_paused_restored": (relay_paused_restored, RELAYS),
    "relay_silent_restored": (relay_silent_restored, RELAYS),
    "peers_silent_restored": (peers_silent_restored, RELAYS),
    "relay_paused": (relay_paused, RELAYS),
    "relay_restored": (relay_restored, RELAYS),
}
# Scenarios that --ci runs.
CI_SCENARIOS = ["first_write", "far_behind", "twice_at_once", "one_paused", "one_starts", "stale_first_start", "held_watch", "fresh_start", "relay_restored"]


async def run_scenario(name, seed, options):
    scenario, settings = SCENARIOS[name]
    fleet = Fleet(seed, options, options.net, os.path.join(options.keep, f"{name}-{seed}"), **settings)
    try:
        await fleet.start_platform()
        if not fleet.starts_itself:
            await fleet.start_entries()
            await fleet.wait_ready()
            await asyncio.sleep(1.0)
        if not fleet.violations:
            await scenario(fleet)
            await asyncio.sleep(LINGER_S)
        fleet.finish()
    finally:
        await fleet.close()
    delay, whose = fleet.worst_delay()
    unserved = ",".join(f"{status}x{number}" for status, number in sorted(fleet.unserved.items())) or "none"
    late = "; ".join(f"{what} x{number}" for what, (_, _, number) in fleet.late_arrivals.items()) or "none"
    print(
        f"scenario={name} seed={seed} verdict={'BROKEN' if fleet.violations else 'ok'} worst_s={delay:.2f} of={whose} served={fleet.served}"
        f" unserved={unserved} first={fleet.first_unserved} late=\"{late}\" lists={fleet.store.list_calls} logs={fleet.folder}",
        flush=True,
    )
    for text in fleet.violations[:4]:
        print(f"  {name} {seed}: {text}", flush=True)
    return not fleet.violations


async def run_in_process(name, seed, net, options):
    """Runs one scenario in a process of its own, so that runs at the same time do not delay each other's event loop."""
    command = [sys.executable, os.path.abspath(__file__), f"--only={name}", f"--seeds={seed}", f"--net={net}", f"--build={options.build}", f"--keep={options.keep}"]
    command += ["--ci"] if options.ci else []
    process = await asyncio.create_subprocess_exec(*command)
    return await process.wait() == 0


async def run_all(runs, options):
    free_nets = asyncio.Queue()
    for offset in range(options.at_once):
        free_nets.put_nowait(options.net + offset)

    async def run_on_free_net(name, seed):
        net = await free_nets.get()
        try:
            return await run_in_process(name, seed, net, options)
        finally:
            free_nets.put_nowait(net)

    return all(await asyncio.gather(*[run_on_free_net(name, seed) for name, seed in runs]))


async def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--only", help="comma-separated names of scenarios")
    parser.add_argument("--seeds", "--seed", default="1", help="comma-separated seeds or ranges FIRST-LAST")
    parser.add_argument("--build", default=os.environ.get("RAGWORT_BUILD", os.path.join(ROOT, "build")))
    parser.add_argument("--ci", action="store_true", help="assert no timing")
    parser.add_argument("--at-once", type=int, default=1, dest="at_once", help="number of runs in parallel")
    parser.add_argument("--net", type=int, default=180, help="the first loopback network, 127.NET.0.0/16; runs in parallel use the following ones")
    parser.add_argument("--keep", help="directory for logs")
    parser.add_argument("--list", action="store_true", help="names the scenarios")
    options = parser.parse_args()
    if options.list:
        for name, (scenario, _) in SCENARIOS.items():
            print(f"{name}: {scenario.__doc__}")
        return
    names = options.only.split(",") if options.only else CI_SCENARIOS if options.ci else list(SCENARIOS)
    options.keep = options.keep or tempfile.mkdtemp(prefix="ragwort-in-force-")
    runs = [(name, seed) for seed in soak.parse_seeds(options.seeds) for name in names]
    ok = await (run_scenario(*runs[0], options) if len(runs) == 1 else run_all(runs, options))
    sys.exit(0 if ok else 1)


if __name__ == "__main__":
    asyncio.run(main())
