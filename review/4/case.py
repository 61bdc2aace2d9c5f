"""An address goes to an upstream of another service, whose health answers are
bad at first."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from stand import Client, Daemon, Store, Upstream, manifest, route, run_case

HOST = "shop.example"
REUSE_AFTER_S = 2  # as in the site file
BAD_HEALTH_S = 2.0  # the site file has up to 7.5 s
SLOTS = 12
WORK_S = 0.005


def find_foreign(upstreams, prefixes):
    return [run for upstream in upstreams for run in upstream.runs
            if not run["path"].startswith(prefixes[upstream.service])]


async def send_steadily(client, path, every_s):
    pending = set()
    try:
        while True:
            task = asyncio.ensure_future(client.send("GET", path, 500))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(every_s)
    finally:
        for task in pending:
            task.cancel()


async def case(record, folder, trouble):
    store = Store(record)
    await store.listen("127.0.0.1", 0)
    prefixes = {"lookup": "/lookup/", "archive": "/archive/"}
    store.put_manifest(manifest(
        "r3", HOST, [route("a", "idempotent", "/lookup/", "lookup", 500, 200),
                     route("b", "idempotent", "/archive/", "archive", 500, 200)],
        list(prefixes)))
    services = ["lookup"] * 2 + ["archive"] * 6
    daemons = [Daemon(record, folder, i + 1, service, "hall-esja",
                      store.address)
               for i, service in enumerate(services)]
    upstreams = [Upstream(record, d.ip, d.ports["app"], d.at("control"), s,
                          f"i-{i}", SLOTS)
                 for i, (d, s) in enumerate(zip(daemons, services))]
    tasks = []
    try:
        for daemon in daemons:
            await daemon.start()
        for upstream in upstreams:
            upstream.work_s = WORK_S
            await upstream.start()
        for daemon in daemons:
            await daemon.wait_ready()
        await asyncio.sleep(5)
        for daemon in daemons:
            client = Client(record, daemon.outbound, HOST)
            for path, every_s in (("/lookup/x", 0.025), ("/archive/x", 0.1)):
                tasks.append(asyncio.ensure_future(
                    send_steadily(client, path, every_s)))
        await asyncio.sleep(4)
        if trouble:
            await upstreams[0].crash()
            await asyncio.sleep(REUSE_AFTER_S + 0.6)
            other = Upstream(record, daemons[0].ip, daemons[0].ports["app"],
                             daemons[0].at("control"), "archive", "i-new",
                             SLOTS)
            other.health_status = 503
            upstreams.append(other)
            daemons[0].write_settings(service="archive")
            daemons[0].signal(signal.SIGHUP)
            await other.start()
            await asyncio.sleep(BAD_HEALTH_S)
            other.health_status = 200
        await asyncio.sleep(6)
    finally:
        for task in tasks:
            task.cancel()
        for upstream in upstreams:
            await upstream.crash()
        for daemon in daemons:
            await daemon.kill()
        await store.close()
    foreign = find_foreign(upstreams, prefixes)
    record.add("foreign-runs", count=len(foreign))
    for run in foreign[:20]:
        record.add("foreign-run", id=run["id"], path=run["path"],
                   at=run["at"].name, service=run["at"].service)
    return not foreign


run_case(case, HERE)
