"""One transaction of the operator takes back the evacuation of one zone and
evacuates another.

With SPLIT=1 the operator makes two transactions instead.
"""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))

import rig as r  # noqa: E402

EVACUATION_MS = 5000
EVACUATED_S = 8
HOST = "desk.example"
ZONES = ("hall-askja", "hall-esja", "hall-katla")


def play(rig, record, has_trouble):
    bounds = {"evacuationMs": EVACUATION_MS}
    nodes = [rig.add_node(zone, "lookup-desk", bounds)
             for zone in ZONES for _ in range(2)]
    rig.store.operate(put={"config": r.manifest(
        1, {HOST: [r.route("r-lookup", "/lookup/", "lookup-desk")]},
        ["lookup-desk"])})
    for node in nodes:
        node.start()
    rig.wait_until("daemons are ready", lambda: all(n.is_ready() for n in nodes))
    upstreams = [r.Upstream(node, "i-%s" % node.name, record) for node in nodes]
    caller = r.Caller(record)
    rig.wait_until("requests are served", lambda: all(
        caller.call(n, HOST, "/lookup/x")[1] == 200 for n in nodes))
    time.sleep(4)
    runs = []  # (at, zone)
    for upstream in upstreams:
        def work(target, zone=upstream.node.zone):
            runs.append((r.now(), zone))
            return 0.02
        upstream.work = work
    stop = threading.Event()

    def load(node):
        while not stop.is_set():
            caller.call(node, HOST, "/lookup/x")
            time.sleep(0.1)

    threads = [threading.Thread(target=load, args=(n,), daemon=True)
               for n in nodes]
    for thread in threads:
        thread.start()
    spans = []  # [zone, evacuated since, until]

    def change(put, remove):
        if not has_trouble:
            return
        rows = {"evacuate/" + z: {"by": "operator"} for z in put}
        taken_back = ["evacuate/" + z for z in remove]
        if os.environ.get("SPLIT"):
            rig.store.operate(remove=taken_back)
            rig.store.operate(put=rows)
        else:
            rig.store.operate(put=rows, remove=taken_back)
        record.say("operator: puts %s, removes %s; acknowledged" %
                   (list(rows), taken_back))
        for span in spans:
            if span[0] in remove and span[2] is None:
                span[2] = r.now()
        spans.extend([z, r.now(), None] for z in put)

    first, second = ZONES[0], ZONES[1]
    time.sleep(2)
    change([first], [])
    time.sleep(EVACUATED_S)
    change([second], [first])
    time.sleep(EVACUATED_S)
    change([], [second])
    time.sleep(2)
    stop.set()
    for thread in threads:
        thread.join()
    breaks = []
    for zone, since, until in spans:
        late = [at for at, z in runs if z == zone
                and since + EVACUATION_MS / 1000 < at < (until or r.now())]
        record.say("%s is evacuated from %.3f to %.3f s: %d runs later than "
                   "%d ms after the ack" %
                   (zone, since, until or r.now(), len(late), EVACUATION_MS))
        if late:
            breaks.append("EVAC: %d requests ran in %s, the first %.3f s after "
                          "its evacuation was acknowledged" %
                          (len(late), zone, late[0] - since))
    for zone in ZONES:
        record.say("runs in %s: %d" % (zone, sum(z == zone for _, z in runs)))
    return breaks


r.main(FOLDER, play)
