"""Starts and stops a deployment on loopback: the emulated platform, the emulated backend servers and the entry instances, as separate
processes."""

import configparser
import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
READY_TIMEOUT_S = 30
STOP_TIMEOUT_S = 40
PLATFORM_ADDRESS = "127.0.0.1:19000"
BACKEND_CONTROL_ADDRESS = "127.0.0.1:19001"


def http(address, path, body=None, headers=None, method=None, timeout=5):
    """Performs one HTTP request and returns (status, headers, body) with the body as text."""
    data = None if body is None else body.encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, headers=headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, dict(response.headers), response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read().decode()


class Fleet:
    """A deployment as described by a fleet file. port_shift moves all its ports, so that fleets can run side by side. As a context
    manager, stops all processes that it started on exit."""

    def __init__(self, fleet_file, questionnaire, work_dir, build_dir=None, workers=2, drain_delay="200ms", log_level="info", port_shift=0):
        self.build_dir = build_dir or os.environ.get("RAGWORT_BUILD", os.path.join(ROOT, "build"))
        self.work_dir = work_dir
        self.workers = workers
        self.drain_delay = drain_delay
        self.log_level = log_level
        self.questionnaire = questionnaire
        self.processes = {}
        self.platform = shift_port(PLATFORM_ADDRESS, port_shift)
        self.control = shift_port(BACKEND_CONTROL_ADDRESS, port_shift)
        os.makedirs(work_dir, exist_ok=True)
        self.fleet_file = self._write_shifted_fleet(fleet_file, port_shift)
        self.entries = self._read_entries()

    def _write_shifted_fleet(self, fleet_file, port_shift):
        """Writes a copy of the fleet file with shifted ports and returns its path."""
        parser = configparser.ConfigParser()
        parser.read(fleet_file)
        for section in parser.sections():
            if parser.has_option(section, "base_port"):
                parser.set(section, "base_port", str(parser.getint(section, "base_port") + port_shift))
        path = os.path.join(self.work_dir, "fleet.ini")
        with open(path, "w") as file:
            parser.write(file)
        return path

    def _read_entries(self):
        """Reads the team, and returns the id, the failure domain and the addresses of each entry instance."""
        parser = configparser.ConfigParser()
        parser.read(self.fleet_file)
        self.team = parser.get("fleet", "team")
        domains = [name.strip() for name in parser.get("fleet", "domains").split(",")]
        base = parser.getint("entry", "base_port")
        entries = []
        for index in range(parser.getint("entry", "instances")):
            entries.append(
                {
                    "id": f"entry-{index}",
                    "domain": domains[index % len(domains)],
                    "callers": f"127.0.0.1:{base + index}",
                    "operators": f"127.0.0.1:{base + 100 + index}",
                    "peers": f"127.0.0.1:{base + 200 + index}",
                }
            )
        return entries

    def tool_path(self, name):
        return os.path.join(self.build_dir, "bin", name)

    def start_process(self, name, arguments):
        log = open(os.path.join(self.work_dir, name + ".log"), "a")
        self.processes[name] = subprocess.Popen(arguments, stdout=log, stderr=log)
        log.close()

    def start_entry(self, entry):
        path = os.path.join(self.work_dir, entry["id"] + ".ini")
        with open(path, "w") as file:
            file.write(
                f"[instance]\nid = {entry['id']}\nfailure_domain = {entry['domain']}\n"
                f"[callers]\naddress = {entry['callers']}\n[operators]\naddress = {entry['operators']}\n"
                f"[peers]\naddress = {entry['peers']}\n[platform]\naddress = {self.platform}\n"
                f"[threads]\nworkers = {self.workers}\n[shutdown]\ndrain_delay = {self.drain_delay}\n"
                f"[log]\nlevel = {self.log_level}\n"
            )
        self.start_process(entry["id"], [self.tool_path("ragwort-entry"), f"--settings={path}"])

    def start(self, apply=True):
        """Starts all processes. If apply is set, applies the questionnaire and waits until every entry instance is ready."""
        self.start_process("platform", [self.tool_path("ragwort-fake-platform"), f"--fleet={self.fleet_file}", f"--address={self.platform}"])
        self.start_process("backend", [self.tool_path("ragwort-fake-backend"), f"--fleet={self.fleet_file}", f"--control={self.control}"])
        for entry in self.entries:
            self.start_entry(entry)
        self.await_http(self.platform, "/fake/counts")
        self.await_http(self.control, "/fake/counts")
        if apply:
            result = self.ctl("apply", self.questionnaire)
            if result.returncode != 0:
                raise RuntimeError("ragwortctl apply failed: " + result.stderr)
            self.await_ready()

    def ctl(self, *arguments):
        return subprocess.run(
            [self.tool_path("ragwortctl"), f"--platform={self.platform}", *arguments], capture_output=True, text=True, timeout=60, check=False
        )

    def await_http(self, address, path, expected_status=200):
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            try:
                if http(address, path, timeout=1)[0] == expected_status:
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise RuntimeError(f"{address}{path} did not answer with {expected_status} in time")

    def await_ready(self, entries=None):
        for entry in entries or self.entries:
            self.await_http(entry["operators"], "/readyz")

    def send_backend_command(self, path, body):
        status, _, text = http(self.control, path, json.dumps(body))
        if status != 200:
            raise RuntimeError(f"command {path} to ragwort-fake-backend failed: {text}")
        return json.loads(text)

    def send_platform_command(self, path, body):
        status, _, text = http(self.platform, path, json.dumps(body))
        if status != 200:
            raise RuntimeError(f"command {path} to ragwort-fake-platform failed: {text}")

    def backend_counts(self):
        """Returns the counters of each backend server."""
        return json.loads(http(self.control, "/fake/counts")[2])

    def action_runs(self):
        """Returns the number of executions of each action, by team and idempotency key."""
        return json.loads(http(self.control, "/fake/actions")[2])

    def state(self, entry):
        return json.loads(http(entry["operators"], "/state")[2])

    def metric(self, entry, name):
        """Returns the sum of a metric over its labels."""
        total = 0.0
        for line in http(entry["operators"], "/metrics")[2].splitlines():
            if line.startswith(name + "{"):
                total += float(line.rsplit(" ", 1)[1])
        return total

    def search(self, entry, kind, text, deadline_ms=500, team="turnos", limit=10):
        """Sends one search and returns (status, headers, answer) with the decoded answer."""
        body = json.dumps({"query": text, "limit": limit})
        headers = {"Content-Type": "application/json", "Ragwort-Deadline-Ms": str(deadline_ms)}
        status, response_headers, answer = http(entry["callers"], f"/v1/teams/{team}/search/{kind}", body, headers)
        return status, response_headers, json.loads(answer)

    def send_action(self, entry, kind, text, key, deadline_ms=2000, team="turnos"):
        """Sends one action with an idempotency key. Returns the same as search()."""
        headers = {"Content-Type": "application/json", "Ragwort-Deadline-Ms": str(deadline_ms), "Idempotency-Key": key}
        status, response_headers, answer = http(entry["callers"], f"/v1/teams/{team}/actions/{kind}", json.dumps({"query": text}), headers)
        return status, response_headers, json.loads(answer)

    def experiment_text(self, kinds, length_s, extra="", seed=3):
        """Returns the text of an experiment file that sends load to all entry instances. kinds maps a name to (rate, deadline_ms, options),
        with the rate in queries per second."""
        targets = ", ".join(entry["callers"] for entry in self.entries)
        health = ", ".join(entry["operators"] for entry in self.entries)
        text = f"[load]\ntargets = {targets}\nhealth = {health}\nlength = {length_s}s\nseed = {seed}\n"
        for name, (rate, deadline_ms, options) in kinds.items():
            text += f"[kind.{name}]\nteam = {self.team}\nrate = {rate}\ndeadline = {deadline_ms}ms\n{options}"
        return text + extra

    def run_load(self, text, json_output=True, name="experiment"):
        """Runs the load of an experiment file to its end. Returns the rows of its result, or the printed table without json_output."""
        path = os.path.join(self.work_dir, name + ".ini")
        with open(path, "w") as file:
            file.write(text)
        arguments = [self.tool_path("ragwort-load"), f"--experiment={path}"] + (["--json"] if json_output else [])
        result = subprocess.run(arguments, capture_output=True, text=True, check=True)
        return json.loads(result.stdout) if json_output else result.stdout

    def stop_process(self, name):
        """Sends SIGTERM to one process and returns its exit code."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(timeout=STOP_TIMEOUT_S)

    def kill_process(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def stop(self):
        """Stops all processes, entry instances first. Returns one text per process that did not exit with code 0."""
        failed = []
        entries = [entry["id"] for entry in self.entries if entry["id"] in self.processes]
        for name in entries:
            # A process that a check has frozen must resume before it can stop.
            self.processes[name].send_signal(signal.SIGCONT)
            self.processes[name].send_signal(signal.SIGTERM)
        for name in entries + [name for name in self.processes if name not in entries]:
            process = self.processes.pop(name)
            process.send_signal(signal.SIGTERM)
            try:
                code = process.wait(timeout=STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                code = process.wait()
            if code != 0:
                failed.append(f"{name} (exit code {code})")
        return failed

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for line in self.stop():
            print("did not stop cleanly: " + line, file=sys.stderr)


def shift_port(address, ports):
    host, port = address.rsplit(":", 1)
    return f"{host}:{int(port) + ports}"
