"""Manifests change while the platform's store is slow, under a load of downloads.

With STEER=0 the slow answers take a random time and the relays tell nothing.
"""

import json
import os
import random
import re
import socket
import subprocess
import sys
import threading
import time
from urllib.parse import urlsplit

FOLDER = os.path.dirname(os.path.abspath(__file__))
LIB = os.path.join(os.path.dirname(FOLDER), "lib")
sys.path.insert(0, LIB)

import rig as r  # noqa: E402

HOST = "archive.example"
ROUTES = 330
DELAY_MS = 1.4  # one way between the zones
ANSWER_BYTES = 540_000
CHUNK_BYTES = 20_000
DEADLINE_MS = 2000
CLIENTS = 8
SLOW_S = 4.5  # a spell of the slow store
SLOW_MS = 240  # of an answer: 60 times the usual 4 ms
PAUSE_S = 1.0
SPELLS = 10
CHANGE_GAP_S = 0.7
RESTART_S = 0.5
IS_STEERED = os.environ.get("STEER", "1") != "0"


def share():
    """Of SLOW_MS that an answer takes at most."""
    return 1 if IS_STEERED else random.uniform(0.5, 1)


class SlowStore:
    """The store's address for one machine. In a slow spell an answer takes up to
    SLOW_MS; if it has rows, it may come sooner, as told by hurry()."""

    def __init__(self, store, ip):
        self.store = store
        self.address = (ip, r.free_port(ip))
        self.is_slow = False
        self.hurries = threading.Event()
        self.server = r.Server(self.address, self.handle)

    def handle(self, sock):
        reader = r.Reader(sock)
        while True:
            line, fields = reader.head()
            method, target, _ = line.split(" ")
            status, answer = self.store.call(method, urlsplit(target),
                                             reader.body(fields))
            data = r.answer_bytes(status, {"Content-Type": "application/json"},
                                  json.dumps(answer).encode())
            if self.is_slow and "table=op" in target and answer.get("rows"):
                self.hurries.wait(SLOW_MS / 1000 * share())
                self.hurries.clear()
            elif self.is_slow:
                time.sleep(SLOW_MS / 1000)
            sock.sendall(data)


class Archive(r.Upstream):
    def handle_request(self, sock, method, target, fields, body):
        id = fields.get(r.ID.lower(), "")
        with self.lock:
            self.ran[id] += 1
        send_in_chunks(sock, self.fields_of(id), body_of(id))


def body_of(id):
    return id.encode() * (ANSWER_BYTES // 16)


def send_in_chunks(sock, fields, body):
    lines = ["HTTP/1.1 200 OK"] + ["%s: %s" % item for item in fields.items()]
    lines.append("Transfer-Encoding: chunked")
    sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
    for at in range(0, len(body), CHUNK_BYTES):
        part = body[at:at + CHUNK_BYTES]
        sock.sendall(b"%x\r\n" % len(part) + part + b"\r\n")
    sock.sendall(b"0\r\n\r\n")


class Client:
    """Sends downloads on connections that it keeps."""

    def __init__(self, node, record):
        self.node = node
        self.record = record
        self.served = 0
        self.refused = 0
        self.wrong = []
        self.cut = []  # (id, at): on a kept connection, no complete answer
        self.is_open = True

    def run(self):
        while self.is_open:
            try:
                sock = socket.create_connection(self.node.outbound, timeout=1)
            except OSError:
                time.sleep(0.05)
                continue
            sock.settimeout(6)
            self.use(sock)
            sock.close()

    def use(self, sock):
        reader = r.Reader(sock)
        uses = 0
        while self.is_open:
            id = r.new_id()
            try:
                sock.sendall(("GET /v/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n"
                              "%s: %d\r\n\r\n" %
                              (HOST, r.ID, id, r.DEADLINE,
                               DEADLINE_MS)).encode())
                line, fields = reader.head()
                body = reader.body(fields, is_answer=True)
            except (OSError, EOFError, ValueError) as error:
                self.record.say("client id=%s no answer, request %d of its "
                                "connection: %s" % (id, uses + 1, error))
                if uses:
                    self.cut.append((id, r.now()))
                return
            uses += 1
            status = int(line.split(" ")[1])
            if status != 200:
                self.refused += 1
                time.sleep(0.05)
            elif body != body_of(id):
                self.wrong.append(id)
                self.record.say(
                    "client id=%s wrong body: status 200, signature %s, complete, "
                    "%d bytes in place of %d" %
                    (id, fields.get(r.SIGNATURE.lower()), len(body),
                     ANSWER_BYTES))
            else:
                self.served += 1
            if fields.get("connection", "").lower() == "close":
                return


def place_behind_relay(node, tell_port):
    """Other daemons reach this one's peer port through a relay."""
    with open(node.path) as file:
        text = file.read()
    port = int(re.search(r'"peer": \{.*?"port": (\d+)', text, re.S).group(1))
    front = r.free_port(node.ip)
    text = re.sub(r'("peer": \{.*?"port": \d+,)',
                  r'\1 "advertise": {"address": "%s", "port": %d},' %
                  (node.ip, front), text, count=1, flags=re.S)
    with open(node.path, "w") as file:
        file.write(text)
    relay = subprocess.Popen(
        [sys.executable, "-B", os.path.join(LIB, "relay.py"), node.ip,
         str(front), str(port), str(DELAY_MS), str(tell_port)],
        stdout=subprocess.PIPE)
    relay.stdout.readline()
    return relay


def manifest(version):
    """Each version changes the time-outs of 330 routes."""
    return r.manifest(version, {
        HOST: [r.route("r-pull", "/v/", "records", "download",
                       timeout_ms=DEADLINE_MS)],
        "surveys.example": [r.route("r%d" % i, "/p%d/" % i, "responses",
                                    timeout_ms=1000 + version)
                            for i in range(ROUTES)]},
        ["records", "responses"])


def play(rig, record, has_trouble):
    relays = []
    try:
        return play_with(rig, record, has_trouble, relays)
    finally:
        for relay in relays:
            relay.kill()


def play_with(rig, record, has_trouble, relays):
    store_ip = rig.store.address[0]
    common = rig.store
    near, far = [SlowStore(common, store_ip) for _ in range(2)]
    rig.store = near
    owner = rig.add_node("dakar-a", "records")
    rig.store = far
    entry = rig.add_node("dakar-b", "responses")
    rig.store = common
    told = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    told.bind(("127.0.0.1", 0))
    for node in (owner, entry):
        relays.append(place_behind_relay(node, told.getsockname()[1]))

    def hurry():
        while True:
            size = told.recv(100).decode()
            record.say("a peer sends a configuration (%s bytes)" % size)
            if IS_STEERED:
                far.hurries.set()

    threading.Thread(target=hurry, daemon=True).start()
    common.operate(put={"config": manifest(1)})
    for node in (owner, entry):
        node.start()
    rig.wait_until("daemons are ready",
                   lambda: owner.is_ready() and entry.is_ready())
    upstreams = [Archive(owner, "i-owner", record, slots=32),
                 r.Upstream(entry, "i-entry", record)]
    caller = r.Caller(record)
    rig.wait_until("requests are served", lambda: caller.call(
        entry, HOST, "/v/x")[1] == 200)
    time.sleep(4)
    clients = [Client(entry, record) for _ in range(CLIENTS)]
    threads = [threading.Thread(target=c.run, daemon=True) for c in clients]
    for thread in threads:
        thread.start()
    version = 1
    ends = []

    def wait_until(at):
        """Restarts the daemon if it ends, as the platform does."""
        while r.now() < at:
            if entry.process.poll() is not None:
                ends.append((r.now(), entry.process.poll()))
                record.say("%s ended by itself, status %d, %.3f s after the ack "
                           "of r%d" % (entry.name, ends[-1][1],
                                       ends[-1][0] - acked_at, version))
                time.sleep(RESTART_S)
                entry.start()
            time.sleep(0.005)

    acked_at = r.now()
    for _ in range(SPELLS):
        spell_at = r.now()
        near.is_slow = far.is_slow = has_trouble
        if has_trouble:
            record.say("the store is slow")
        while r.now() < spell_at + SLOW_S - CHANGE_GAP_S:
            version += 1
            far.hurries.clear()
            common.operate(put={"config": manifest(version)})
            acked_at = r.now()
            if IS_STEERED:
                near.hurries.set()
            wait_until(acked_at + CHANGE_GAP_S)
        near.is_slow = far.is_slow = False
        record.say("the store is as usual")
        wait_until(r.now() + PAUSE_S)
    for client in clients:
        client.is_open = False
    for thread in threads:
        thread.join(10)
    owner_ended = owner.process.poll()
    cut = [id for c in clients for id, at in c.cut if upstreams[0].ran[id]
           and any(abs(at - end) < 1 for end, _ in ends)]
    wrong = [id for c in clients for id in c.wrong]
    record.say("served %d, refused %d, wrong bodies %d; cut on kept connections "
               "after the upstream had run them: %d; versions %d; the daemon at "
               "the clients ended by itself %d times, the other one: %s" %
               (sum(c.served for c in clients), sum(c.refused for c in clients),
                len(wrong), len(cut), version, len(ends), owner_ended))
    for number, client in enumerate(clients):
        record.say("client %d: %d answered with 200, %d refused, %d cut, %d "
                   "wrong" % (number, client.served + len(client.wrong),
                              client.refused, len(client.cut),
                              len(client.wrong)))
    record.say("upstream i-owner: %d requests run, %d runs" %
               (len(upstreams[0].ran), sum(upstreams[0].ran.values())))
    for id in cut:
        record.say("id=%s: runs %d, no answer" % (id, upstreams[0].ran[id]))
    for id in wrong:
        record.say("id=%s: runs %d, wrong body" % (id, upstreams[0].ran[id]))
    breaks = []
    if len(cut) > 3:
        breaks.append("LOST: %d requests on kept connections had run and got no "
                      "answer, as the daemon ended by itself %d times, with "
                      "status %s" % (len(cut), len(ends),
                                     sorted(set(s for _, s in ends))))
    if wrong:
        breaks.append("MIXED: %d complete answers with a body that isn't the "
                      "upstream's" % len(wrong))
    return breaks


r.main(FOLDER, play)
