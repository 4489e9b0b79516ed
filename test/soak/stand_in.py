"""Emulates the users' platform on loopback: metadata store, backend servers, and a proxy that disturbs connections."""

import asyncio
import base64
import hashlib
import json

from aiohttp import web

RECORD_BYTES = 16
RECORDS_PER_SHARD = 6
# Maximum number of changes that the store keeps for watches.
HISTORY_CHANGES = 400
# Interval of the store's copies, and the age of the oldest one that it keeps.
COPY_INTERVAL_S = 0.1
OLDEST_COPY_S = 10.0
# Pause that a server in fault mode pausing asks for.
PAUSE_S = 2


def digest(*parts):
    return hashlib.sha256("|".join(parts).encode()).digest()


def expected_records(service, target):
    """Returns the records that every replica of a shard sends for a request."""
    return [digest(service, target, str(number))[:RECORD_BYTES] for number in range(RECORDS_PER_SHARD)]


def signature(service, server, request_id):
    """Returns the signature by which a server states that it has answered the request."""
    return f"{service}.{server}.{request_id}.{digest(service, server, request_id).hex()[:8]}"


def signed_service(text, request_id):
    """Returns the service whose signature of this request the text is, or None if it is no valid signature."""
    parts = text.split(".")
    return parts[0] if len(parts) == 4 and text == signature(parts[0], parts[1], request_id) else None


def cut_connection(request):
    """Resets the connection of a request, unless the client has closed it already."""
    if request.transport is not None:
        request.transport.abort()


class Proxy:
    """Forwards connections to a target address and disturbs them.

    Fault modes besides none: refuse closes new connections, silent forwards nothing, oneway forwards requests but no responses. Data
    that arrives meanwhile is forwarded when the fault ends."""

    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.fault_mode = "none"
        self.delay_s = 0.0
        self.last_fault_at = -100.0
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.accept, *self.listen)

    async def stop(self):
        self.server.close()
        self.reset()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def accept(self, reader, writer):
        if self.fault_mode == "refuse":
            writer.transport.abort()
            return
        self.writers.add(writer)
        other = None
        try:
            while self.fault_mode in ("silent", "oneway"):
                await asyncio.sleep(0.05)
            other_reader, other = await asyncio.open_connection(*self.target)
            self.writers.add(other)
            await asyncio.gather(self.forward(reader, other, False), self.forward(other_reader, writer, True))
        except OSError:
            writer.transport.abort()
        finally:
            for end in (writer, other):
                if end is not None:
                    self.writers.discard(end)
                    end.close()

    async def forward(self, reader, writer, is_response):
        while data := await reader.read(65536):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while self.fault_mode == "silent" or (self.fault_mode == "oneway" and is_response):
                await asyncio.sleep(0.05)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()


class Store:
    """The metadata store: items, leases, watches and a bounded history. It can come back from an older copy of itself.

    Fault modes besides none: refuse answers every call with status 503, silent does not answer."""

    def __init__(self):
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.oldest, self.last_lease = 1, 1, 0
        self.fault_mode = "none"
        self.lose_write_answers = 0
        self.changed = asyncio.Condition()
        # Rises by one each time that the store comes back from a copy. Every answer states it.
        self.epoch = 1
        # Time and contents of each copy, oldest first.
        self.copies = []
        # Set unless the store is away before it comes back from a copy. Writes of the operator and of servers wait for it.
        self.present = asyncio.Event()
        self.present.set()
        # Last value that the operator or a server wrote to each key, None if it deleted the key.
        self.written = {}
        self.open_connections = set()

    async def put(self, key, value):
        """Writes for the operator or a server, once the store is there. Its return is the acknowledgement."""
        await self.present.wait()
        self.written[key] = value
        await self.write(key, value)

    def contents(self):
        return (dict(self.items), list(self.history), dict(self.leases), self.revision, self.oldest, self.last_lease)

    async def keep_copies(self):
        while True:
            now = asyncio.get_running_loop().time()
            if self.present.is_set():
                self.copies.append((now, self.contents()))
            while now - self.copies[0][0] > OLDEST_COPY_S:
                del self.copies[0]
            await asyncio.sleep(COPY_INTERVAL_S)

    def leave(self, fault_mode):
        """Goes away in a fault mode until it comes back from a copy."""
        self.fault_mode = fault_mode
        self.present.clear()
        self.cut_connections()

    def come_back(self, age_s):
        """Comes back from the copy of that age, or the oldest. The copies after it are lost too. Returns the revisions that were lost."""
        newest = self.revision
        until = asyncio.get_running_loop().time() - age_s
        self.copies = [copy for copy in self.copies if copy[0] <= until] or self.copies[:1]
        items, history, leases, self.revision, self.oldest, self.last_lease = self.copies[-1][1]
        self.items, self.history, self.leases = dict(items), list(history), dict(leases)
        self.epoch += 1
        self.fault_mode = "none"
        self.present.set()
        self.cut_connections()
        return newest - self.revision

    def cut_connections(self):
        for transport in list(self.open_connections):
            transport.abort()

    def is_lost(self, key):
        """Returns whether what the operator or a server last wrote to the key must be written again."""
        item = self.items.get(key)
        return self.written[key] != (None if item is None else base64.b64decode(item["value"]))

    async def write(self, key, value, lease=0):
        """Writes the value, or deletes the key if the value is None. Wakes the pending watches."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision, "created": self.revision, "lease": lease}
        self.history.append(self.items.get(key) or {"key": key, "revision": self.revision, "deleted": True})
        if len(self.history) > HISTORY_CHANGES:
            self.compact_history(1)
        async with self.changed:
            self.changed.notify_all()

    def compact_history(self, changes):
        """Removes the oldest changes from the history. A watch that starts before them fails with status 410."""
        for change in self.history[:changes]:
            self.oldest = change["revision"]
        del self.history[:changes]

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.2)
            await self.present.wait()
            now = asyncio.get_running_loop().time()
            for lease in [lease for lease, (until, _) in self.leases.items() if until < now]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        if self.leases.pop(lease, None):
            for key in [key for key, item in self.items.items() if item["lease"] == lease]:
                await self.write(key, None)

    def grant(self, ttl_ms):
        self.last_lease += 1
        self.leases[self.last_lease] = (asyncio.get_running_loop().time() + ttl_ms / 1000, ttl_ms)
        return self.last_lease

    async def handle(self, request):
        transport = request.transport
        if transport is not None:
            self.open_connections.add(transport)
        try:
            answer = await self.answer(request)
        finally:
            self.open_connections.discard(transport)
        answer.headers["Store-Era"] = str(self.epoch)
        return answer

    async def answer(self, request):
        if self.fault_mode == "silent":
            await asyncio.sleep(60)
        if self.fault_mode != "none":
            return web.json_response({}, status=503)
        path, query = request.path, request.query
        if path == "/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query.get("prefix", "")) and key > query.get("after", ""))
            return web.json_response({"items": [self.items[key] for key in keys[:50]], "has_more": len(keys) > 50, "current_rev": self.revision})
        if path == "/kv-watch":
            return await self.watch(int(query["after"]), int(query["wait_ms"]) / 1000)
        try:
            body = await request.json() if path in ("/kv-txn", "/kv-lease") else {}
        except ConnectionResetError:
            return web.Response()  # The client disconnected while sending the request.
        if path == "/kv-txn":
            return await self.transact(request, body)
        if path == "/kv-lease":
            ttl_ms = body["ttl_ms"]
            return web.json_response({"lease": self.grant(ttl_ms), "ttl_ms": ttl_ms})
        lease = int(path.rsplit("/", 1)[1])
        if path.startswith("/kv-lease-end/"):
            await self.end_lease(lease)
            return web.json_response({})
        if lease not in self.leases:
            return web.json_response({}, status=404)
        ttl_ms = self.leases[lease][1]
        self.leases[lease] = (asyncio.get_running_loop().time() + ttl_ms / 1000, ttl_ms)
        return web.json_response({"ttl_ms": ttl_ms})

    async def watch(self, after, wait_s):
        def events():
            return [change for change in self.history if change["revision"] > after]

        if after > self.revision:
            return web.json_response({}, status=410)

        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(lambda: after < self.oldest or events()), wait_s)
            except asyncio.TimeoutError:
                pass
        if after < self.oldest:
            return web.json_response({}, status=410)
        return web.json_response({"events": events(), "current_rev": self.revision})

    async def transact(self, request, body):
        for put in body["puts"]:
            if put["lease"] and put["lease"] not in self.leases:
                return web.json_response({}, status=404)
        for put in body["puts"]:
            await self.write(put["key"], base64.b64decode(put["value"]), put["lease"])
        # The writes have taken effect, but the client receives no response.
        if self.lose_write_answers > 0:
            self.lose_write_answers -= 1
            cut_connection(request)
        return web.json_response({"revision": self.revision})


class Backend:
    """A backend server that reports each execution to the deployment.

    Fault modes besides none: slow answers after 0.2 s, failing answers with status 500, silent does not answer, losing closes the
    connection after the execution, full refuses the request without an execution, pausing does so and asks for a pause, leaving states in
    each answer that the server leaves."""

    def __init__(self, service, number, address, domain, deployment):
        self.service, self.number, self.address, self.domain, self.deployment = service, number, address, domain, deployment
        self.incarnation = 0
        self.fault_mode = "none"
        self.runner = None
        self.server_id = None

    async def start(self):
        self.incarnation += 1
        self.fault_mode = "none"
        self.server_id = f"{self.service}-{self.number}-{self.incarnation}"
        self.runner = web.ServerRunner(web.Server(self.handle, access_log=None), shutdown_timeout=0)
        await self.runner.setup()
        await web.TCPSite(self.runner, *self.address, reuse_address=True).start()

    async def stop(self):
        if self.runner is not None:
            runner, self.runner = self.runner, None
            await runner.cleanup()

    def registration(self, state="ready"):
        """Returns the value under which the server is listed in the store."""
        return json.dumps(
            {
                "service": self.service,
                "addr": "{}:{}".format(*self.deployment.proxies[self.service, self.number].listen),
                "zone": self.domain,
                "version": "v1",
                "slots": 8,
                "state": state,
                "warmup_left_ms": 0,
                "sequence": 1,
                "born": self.incarnation,
            }
        ).encode()

    async def handle(self, request):
        request_id = request.headers.get("X-Request-Id", "")
        headers = {"X-Request-Id": request_id, "X-Server-Load": "1,0,8"}
        if request.headers.get("X-Expect-Instance", self.server_id) != self.server_id:
            return web.Response(status=421, headers=headers)
        self.deployment.record_arrival(self, request_id)
        if self.fault_mode == "leaving":
            headers["Server-Leaving"] = "1"
            self.deployment.record_leaving(self, request_id)
        if self.fault_mode == "pausing":
            self.deployment.record_pause(self, request_id, PAUSE_S)
            return web.Response(status=503, headers={**headers, "X-Not-Run": "1", "Retry-After": str(PAUSE_S)})
        if self.fault_mode == "full":
            return web.Response(status=503, headers={**headers, "X-Not-Run": "1"})
        self.deployment.record_run(self, request, request_id)
        fault_mode = self.fault_mode
        if fault_mode == "silent":
            await asyncio.sleep(30)
        await asyncio.sleep(0.2 if fault_mode == "slow" else 0.004)
        if fault_mode == "losing":
            cut_connection(request)
            return web.Response()
        headers["X-Server-Stamp"] = signature(self.service, self.server_id, request_id)
        body = b"".join(expected_records(self.service, request.path_qs))
        return web.Response(status=500 if fault_mode == "failing" else 200, headers=headers, body=body, content_type="application/octet-stream")
