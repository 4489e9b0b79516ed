"""A metadata store that comes back from an older copy of its contents, and that answers some reads from older contents."""

import asyncio
import base64
import random

from aiohttp import web

from stand_in import Store

# Time for which a call that is never answered stays open.
HELD_S = 120
# Number of items on a page of a list, unless a scenario asks for smaller pages.
PAGE_ITEMS = 50


class RestoredStore(Store):
    """The metadata store with an epoch that it states in every answer as `Store-Era`.

    A restore loses all changes after the kept copy, leases too, and gives out their revisions and lease numbers again. Fault modes besides
    those of the base class: away resets every connection. Reads with `serializable` return the contents of up to `stale_s` seconds ago, while
    `current_rev` is the latest; with `mixed_ages` each page of a list is of an age of its own."""

    def __init__(self, seed):
        super().__init__()
        self.random = random.Random(f"store-{seed}")
        self.era = 5
        # Returns the text of the header for an answer, or None for an answer without it.
        self.era_text = lambda: str(self.era)
        self.page_items = PAGE_ITEMS
        self.stale_s, self.mixed_ages = 0.0, False
        # Time and contents after each change, in order.
        self.past = []
        self.copy = None
        # Calls that wait, so that a restore can reset them.
        self.pending = set()
        # Watches that began before the last increment are never answered.
        self.held_before = 0
        self.watch_calls = self.list_calls = 0
        # Returns the value that the store keeps for a value that an instance writes.
        self.rewrite = lambda key, value: value

    async def write(self, key, value, lease=0):
        await super().write(key, value, lease)
        self.past.append((asyncio.get_running_loop().time(), dict(self.items)))

    def keep_copy(self):
        """Keeps the contents, from which a later restore comes back."""
        self.copy = (dict(self.items), list(self.history), dict(self.leases), self.revision, self.oldest, self.last_lease)

    def go_away(self):
        """Resets all connections and every new one, until `come_back` or `restore`."""
        self.fault_mode = "away"
        for transport in list(self.pending):
            transport.abort()

    def come_back(self):
        self.fault_mode = "none"

    def load_copy(self):
        """Replaces the contents by the kept copy and begins the next epoch. The store stays away."""
        items, history, leases, self.revision, self.oldest, self.last_lease = self.copy
        self.items, self.history, self.leases = dict(items), list(history), dict(leases)
        self.past.append((asyncio.get_running_loop().time(), dict(self.items)))
        self.era += 1

    def hold_watches(self):
        """Makes the watches that wait now wait for good."""
        self.held_before += 1

    async def handle(self, request):
        self.pending.add(request.transport)
        try:
            if self.fault_mode == "away":
                request.transport.abort()
                return web.Response()
            if request.path == "/kv-range" and self.fault_mode == "none":
                answer = self.list_items(request.query)
            else:
                answer = await super().handle(request)
        finally:
            self.pending.discard(request.transport)
        era = self.era_text()
        if era is not None:
            answer.headers["Store-Era"] = era
        return answer

    def list_items(self, query):
        self.list_calls += 1
        contents = self.items
        if query.get("serializable") == "1" and self.stale_s:
            age_s = self.random.choice([0.0, self.stale_s]) if self.mixed_ages else self.stale_s
            before = asyncio.get_running_loop().time() - age_s
            contents = next((items for at, items in reversed(self.past) if at <= before), {})
        keys = sorted(key for key in contents if key.startswith(query.get("prefix", "")) and key > query.get("after", ""))
        page = keys[: self.page_items]
        return web.json_response({"items": [contents[key] for key in page], "has_more": len(keys) > len(page), "current_rev": self.revision})

    async def watch(self, after, wait_s):
        self.watch_calls += 1
        began, era = self.held_before, self.era
        if after > self.revision:
            return web.json_response({}, status=410)
        answer = await super().watch(after, wait_s)
        if self.held_before != began:
            await asyncio.sleep(HELD_S)
        # A watch of the store before the restore is not answered by the store after it.
        return answer if self.era == era else web.json_response({}, status=503)

    async def transact(self, request, body):
        if any(put["key"].startswith(("op/", "servers/")) for put in body["puts"]):
            return web.json_response({}, status=403)
        for put in body["puts"]:
            put["value"] = base64.b64encode(self.rewrite(put["key"], base64.b64decode(put["value"]))).decode()
        return await super().transact(request, body)

    def value(self, key):
        """Returns the value of a key, or None."""
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"])
