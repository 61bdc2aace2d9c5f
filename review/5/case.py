"""Upstreams in trouble end some of their answers with a trailer section that
has no end. The platform kills a daemon that exceeds its memory."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from stand import Client, Daemon, Store, Upstream, manifest, route, run_case

HOST = "shop.example"
MACHINES = 4
FAULTY = 2  # half of the service's upstreams
SPOILT = 0.05  # of their answers
SPELL_S = 5.5
SPELLS = 4
PAUSE_S = 9.0
MEMORY_MB = 260
RESTART_S = 0.5
ENDS = 3  # of each of two machines break the rule


class Faulty(Upstream):
    trouble = False
    chance = random.Random(1)

    async def answer(self, writer, run, body):
        if not self.trouble or self.chance.random() >= SPOILT:
            return await super().answer(writer, run, body)
        self.record.add("endless", id=run["id"], method=run["method"],
                        at=self.name)
        writer.write((
            "HTTP/1.1 200 OK\r\n"
            f"X-Comfreydock-Request-Id: {run['id']}\r\n"
            f"X-Comfreydock-Response-Signature: sig.{self.name}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n").encode())
        lines = (b"X-T: " + b"t" * 80 + b"\r\n") * 2000
        while True:  # until the caller closes
            writer.write(lines)
            await writer.drain()


async def enforce_memory(daemon, ends):
    """Kills a process over the limit and starts it again, as the platform."""
    while True:
        await asyncio.sleep(0.02)
        resident = daemon.memory_mb()[0]
        if resident <= MEMORY_MB:
            continue
        daemon.record.add("over-memory", name=daemon.name, mb=int(resident))
        ends[daemon.name] = ends.get(daemon.name, 0) + 1
        await daemon.kill()
        await asyncio.sleep(RESTART_S)
        await daemon.start()


async def send_steadily(client, every_s):
    pending = set()
    try:
        while True:
            for call in (client.send("GET", "/lookup/x", 500),
                         client.send("POST", "/connect/x", 600, b"{}")):
                task = asyncio.ensure_future(call)
                pending.add(task)
                task.add_done_callback(pending.discard)
            await asyncio.sleep(every_s)
    finally:
        for task in pending:
            task.cancel()


async def case(record, folder, trouble):
    store = Store(record)
    await store.listen("127.0.0.1", 0)
    store.put_manifest(manifest("r3", HOST, [
        route("a", "idempotent", "/lookup/", "lookup", 500, 200),
        route("b", "non_idempotent", "/connect/", "lookup", 600, 250)],
        ["lookup"]))
    daemons = [Daemon(record, folder, i + 1, "lookup", "hall-esja", store.address)
               for i in range(MACHINES)]
    upstreams = [Faulty(record, d.ip, d.ports["app"], d.at("control"),
                        "lookup", f"i-{i}", slots=4)
                 for i, d in enumerate(daemons)]
    tasks = []
    ends = {}
    try:
        for daemon in daemons:
            await daemon.start()
        for upstream in upstreams:
            upstream.work_s = 0.06
            await upstream.start()
        for daemon in daemons:
            await daemon.wait_ready()
        await asyncio.sleep(3)
        for daemon in daemons:
            tasks.append(asyncio.ensure_future(enforce_memory(daemon, ends)))
            tasks.append(asyncio.ensure_future(send_steadily(
                Client(record, daemon.outbound, HOST), 0.05)))
        for _ in range(SPELLS):
            await asyncio.sleep(3)
            for upstream in upstreams[:FAULTY]:
                upstream.trouble = trouble
            record.add("spell-begins")
            await asyncio.sleep(SPELL_S)
            for upstream in upstreams:
                upstream.trouble = False
            record.add("spell-ends")
            await asyncio.sleep(PAUSE_S)
    finally:
        for task in tasks:
            task.cancel()
        for upstream in upstreams:
            await upstream.crash()
        for daemon in daemons:
            await daemon.kill()
        await store.close()
    record.add("ends", **ends)
    return sum(count >= ENDS for count in ends.values()) < 2


run_case(case, HERE)
