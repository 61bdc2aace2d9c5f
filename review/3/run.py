"""A manifest whose new listener has a host name of more than 63 bytes."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))

import rig as r  # noqa: E402

CONFIG_MS = 2000
HOST = "desk.example"
LONG = "connect-through.lookup-desk.hall-esja.reykjavik.spurningalina.example"


def play(rig, record, has_trouble):
    nodes = [rig.add_node(zone, service)
             for zone in ("hall-esja", "hall-katla")
             for service in ("lookup-desk", "archive-feed")]
    services = ["lookup-desk", "archive-feed"]

    def routes(check_at, dropped):
        found = [r.route("r-lookup", "/lookup/", "lookup-desk"),
                 r.route("r-check", "/check/", check_at)]
        if not dropped:
            found.append(r.route("r-old", "/old/", "lookup-desk"))
        return found

    rig.store.operate(put={"config": r.manifest(
        1, {HOST: routes("lookup-desk", False)}, services)})
    for node in nodes:
        node.start()
    rig.wait_until("daemons are ready", lambda: all(n.is_ready() for n in nodes))
    upstreams = [r.Upstream(n, "i-" + n.name, record) for n in nodes]
    caller = r.Caller(record)
    rig.wait_until("requests are served", lambda: all(
        caller.call(n, HOST, "/lookup/x")[1] == 200 for n in nodes))
    time.sleep(4)
    changed_at = None
    if has_trouble:
        rig.store.operate(put={"config": r.manifest(
            4, {HOST: routes("archive-feed", True),
                LONG: [r.route("r-connect", "/connect/", "lookup-desk")]},
            services)})
        changed_at = r.now()
        record.say("operator: r4 acknowledged: /check/ moves to archive-feed, "
                   "/old/ is dropped, a listener for %s (%d bytes) is added" %
                   (LONG, len(LONG)))
    time.sleep(CONFIG_MS / 1000 + 3)
    breaks = []
    counts = {}
    for _ in range(5):
        for node in nodes:
            for host, target in ((HOST, "/check/x"), (HOST, "/old/x"),
                                 (LONG, "/connect/x"), (HOST, "/lookup/x")):
                id, status = caller.call(node, host, target)
                by = [u.node.service for u in upstreams if u.ran[id]]
                counts.setdefault((host, target), []).append((status, by))
    for (host, target), seen in counts.items():
        record.say("%s%s: %s" % (host, target, sorted(set(
            "%d by %s" % (status, by or "none") for status, by in seen))))
    if changed_at:
        moved = [s for s in counts[(HOST, "/check/x")] if s[1] == ["lookup-desk"]]
        kept = [s for s in counts[(HOST, "/old/x")] if s[1]]
        lost = [s for s in counts[(LONG, "/connect/x")] if s[0] != 200]
        if moved or kept:
            breaks.append("CONFIG: %d s after the ack %d of 20 requests ran at "
                          "the old service and %d of 20 on a dropped route; "
                          "%d of 20 on the new route were not served" %
                          (CONFIG_MS / 1000 + 3, len(moved), len(kept),
                           len(lost)))
    return breaks


r.main(FOLDER, play)
