"""Requests whose ids are longer than those of the pages' examples."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from stand import Client, Daemon, Store, Upstream, manifest, route, run_case

HOST = "shop.example"


class Caller(Client):
    """Its ids are those of a call chain: each call adds a part to the id of
    the request that it belongs to."""

    def __init__(self, record, outbound, parts):
        super().__init__(record, outbound, HOST)
        self.parts = parts

    def next_id(self):
        part = "%016x" % next(Client.ids)
        return ".".join([part] * self.parts)


async def case(record, folder, trouble):
    store = Store(record)
    await store.listen("127.0.0.1", 0)
    store.put_manifest(manifest("r3", HOST, [
        route("a", "idempotent", "/lookup/", "lookup", 500, 200),
        route("b", "non_idempotent", "/connect/", "lookup", 600, 250)],
        ["lookup"]))
    daemons = [Daemon(record, folder, i + 1, "lookup", "hall-esja", store.address)
               for i in range(2)]
    upstreams = [Upstream(record, d.ip, d.ports["app"], d.at("control"),
                          "lookup", f"i-{i}") for i, d in enumerate(daemons)]
    sent = set()
    try:
        for daemon in daemons:
            await daemon.start()
        for upstream in upstreams:
            await upstream.start()
        for daemon in daemons:
            await daemon.wait_ready()
        await asyncio.sleep(4)
        for daemon in daemons:
            client = Caller(record, daemon.outbound, 3 if trouble else 2)
            for _ in range(10):
                sent.add((await client.send("GET", "/lookup/x", 500))[0])
                sent.add((await client.send("POST", "/connect/x", 600,
                                            b"{}"))[0])
    finally:
        for upstream in upstreams:
            await upstream.crash()
        for daemon in daemons:
            await daemon.kill()
        await store.close()
    unasked = [run for upstream in upstreams for run in upstream.runs
               if run["id"] not in sent]
    record.add("unasked-runs", count=len(unasked), sent=len(sent))
    return not unasked


run_case(case, HERE)
