"""A request that crashes the servers that run it comes again and again. See claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import BOUNDS, run_case, trouble  # noqa: E402

HOST = "hufi27.example"
POISON = "/goka902/teacher-4711"
# A crashed server is back after this time.
BACK_S = 3.0
RETRY_EVERY_S = 1.0
RETRIES = 25
# The rule allows so many retries that reach servers.
ALLOWED = 3


async def body(fleet):
    fleet.add_service("miturno", 7)
    crashes, reached = [], []
    other_runs = {}

    def on_arrival(server, message):
        if message.target == POISON:
            fleet.record.line(f"server {server.identity} receives the crashing request, id {message.headers['x-request-id']}")
            reached.append(message.headers["x-request-id"])

    def on_run(server, message):
        request_id = message.headers["x-request-id"]
        if message.target != POISON:
            other_runs[request_id] = other_runs.get(request_id, 0) + 1

    def on_crash(server, message):
        crashes.append(fleet.record.now())
        fleet.record.line(f"server {server.identity} crashes on id {message.headers['x-request-id']}, crash {len(crashes)}")

        async def come_back():
            await asyncio.sleep(BACK_S)
            await server.start()

        fleet.spawn(come_back())

    fleet.on_arrival, fleet.on_run, fleet.on_crash = on_arrival, on_run, on_crash
    for server in fleet.servers:
        server.crashes_on = lambda message: trouble() and message.target == POISON
    await fleet.start(7, [
        {"name": "r-shifts", "host": HOST, "prefix": "/goka902/", "kind": "safe", "timeout_ms": 6000, "target_latency_ms": 400, "priority": 2,
         "service": "miturno", "max_attempts": 2},
        {"name": "r-swap", "host": HOST, "prefix": "/swap1/", "kind": "unsafe", "timeout_ms": 6000, "target_latency_ms": 400, "priority": 2,
         "service": "miturno", "max_attempts": 2},
    ])

    lost = []
    stop = asyncio.Event()

    async def other_caller(number):
        while not stop.is_set():
            request_id = fleet.new_id()
            entry = fleet.entries[number % len(fleet.entries)]
            answer = await fleet.request(entry, "POST", HOST, f"/swap1/{number}", request_id, 2000, b"swap")
            if other_runs.get(request_id) and (answer is None or answer.status >= 500):
                lost.append(request_id)
            await asyncio.sleep(0.1)

    others = [fleet.spawn(other_caller(number)) for number in range(6)]
    sent_at = {}
    for number in range(RETRIES):
        request_id = fleet.new_id()
        sent_at[request_id] = fleet.record.now()
        entry = fleet.entries[number % len(fleet.entries)]
        fleet.spawn(fleet.request(entry, "GET", HOST, POISON, request_id, 6000, note="(the crashing request)"))
        await asyncio.sleep(RETRY_EVERY_S)
    await asyncio.sleep(1)
    stop.set()
    await asyncio.gather(*others)
    fleet.record.line(f"{len(crashes)} crashes; {len(lost)} requests of other callers had run and got no answer of a server")
    if not trouble():
        return [] if not crashes and len(set(reached)) == RETRIES and not lost else ["the calm run is not calm"]
    if len(crashes) < 3:
        raise RuntimeError("fewer than three crashes")
    after = crashes[2] + BOUNDS["contact_ms"] / 1000
    late = [request_id for request_id in dict.fromkeys(reached) if sent_at[request_id] > after]
    text = f"{len(late)} retries sent later than contact_ms after the third crash reached servers (allowed {ALLOWED}); {len(crashes)} crashes in all"
    fleet.record.line(text)
    return [text] if len(late) > ALLOWED else []


run_case(FOLDER, 1, body)
