"""Stand-ins for the review's scripts: the platform's store, upstreams, clients,
and the start and end of the project's daemon. Python's standard library only.

Everything listens on loopback addresses. The bodies and headers are those of
PROTOCOL.md; the settings are rendered from deploy/settings.json as DEPLOY.md
tells it.
"""

import base64
import collections
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from urllib.parse import parse_qs, unquote, urlsplit

TOP = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

ID = "X-Comfreydock-Request-Id"
DEADLINE = "X-Comfreydock-Deadline-Ms"
EXPECTED = "X-Comfreydock-Expected-Instance"
CALLER = "X-Comfreydock-Caller-Service"
SIGNATURE = "X-Comfreydock-Response-Signature"
NOT_RUN = "X-Comfreydock-Not-Executed"
INSTANCE = "X-Comfreydock-Instance-Id"
LOAD = "X-Comfreydock-Server-Load"

START = time.monotonic()


def now():
    """Seconds since the script began."""
    return time.monotonic() - START


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def say(self, text):
        with self.lock:
            self.file.write("%9.3f %s\n" % (now(), text))
            self.file.flush()

    def close(self):
        self.file.close()


# HTTP/1.1 over a socket.


class Reader:
    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def more(self):
        part = self.sock.recv(65536)
        if not part:
            raise EOFError
        self.buffer += part

    def until(self, mark):
        while mark not in self.buffer:
            self.more()
        head, self.buffer = self.buffer.split(mark, 1)
        return head

    def exactly(self, size):
        while len(self.buffer) < size:
            self.more()
        body, self.buffer = self.buffer[:size], self.buffer[size:]
        return body

    def to_end(self):
        try:
            while True:
                self.more()
        except EOFError:
            body, self.buffer = self.buffer, b""
            return body

    def head(self):
        """The first line and the fields, with names in lower case."""
        lines = self.until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        return lines[0], fields

    def body(self, fields, is_answer=False):
        if fields.get("transfer-encoding", "").lower() == "chunked":
            whole = b""
            while True:
                size = int(self.until(b"\r\n").split(b";")[0], 16)
                if size == 0:
                    while self.until(b"\r\n"):
                        pass
                    return whole
                whole += self.exactly(size)
                self.until(b"\r\n")
        if "content-length" in fields:
            return self.exactly(int(fields["content-length"]))
        return self.to_end() if is_answer else b""


REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 500: "Internal Server Error",
           503: "Service Unavailable"}


def answer_bytes(status, fields, body=b""):
    lines = ["HTTP/1.1 %d %s" % (status, REASONS.get(status, "Status"))]
    lines += ["%s: %s" % item for item in fields.items()]
    lines.append("Content-Length: %d" % len(body))
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Server:
    """Serves each connection in a thread of its own."""

    def __init__(self, address, handler):
        self.handler = handler
        self.is_open = True
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(address)
        self.socket.listen(256)
        self.connections = set()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while self.is_open:
            try:
                sock, _ = self.socket.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.add(sock)
            threading.Thread(target=self.serve, args=(sock,),
                             daemon=True).start()

    def serve(self, sock):
        try:
            self.handler(sock)
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self.connections.discard(sock)
            sock.close()

    def close(self):
        self.is_open = False
        self.socket.close()
        for sock in list(self.connections):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


# The platform's store.


class Store:
    """The rows of PROTOCOL.md: rows-tx, rows-get, rows-feed and rows-parts."""

    def __init__(self, address):
        self.address = address
        self.rows = {}  # (table, part, key) -> [value or None, ver]
        self.ver = 0
        self.changed = threading.Condition()
        self.server = Server(address, self.handle)

    def handle(self, sock):
        reader = Reader(sock)
        while True:
            line, fields = reader.head()
            method, target, _ = line.split(" ")
            body = reader.body(fields)
            status, answer = self.call(method, urlsplit(target), body)
            sock.sendall(answer_bytes(
                status, {"Content-Type": "application/json"},
                json.dumps(answer).encode()))

    def call(self, method, url, body):
        query = {k: v[0] for k, v in
                 parse_qs(url.query, keep_blank_values=True).items()}
        time.sleep(0.004)
        if url.path == "/comfreydock/rows-tx" and method == "POST":
            entries = json.loads(body)
            if any(e["table"] in ("op", "servers")
                   for e in entries["setKeys"] + entries["remove"]):
                return 403, {}
            return self.transact(entries)
        if url.path == "/comfreydock/rows-get":
            return self.get(query)
        if url.path == "/comfreydock/rows-feed":
            return self.feed(query)
        if url.path == "/comfreydock/rows-parts":
            return 200, {"parts": [], "ver": self.ver, "nowMs": self.now_ms()}
        return 404, {}

    @staticmethod
    def now_ms():
        return int(time.monotonic() * 1000)

    @staticmethod
    def name(entry):
        return entry["table"], entry.get("part", ""), entry["key"]

    def show(self, name):
        value, ver = self.rows[name]
        row = {"table": name[0], "part": name[1], "key": name[2], "ver": ver}
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = value
        return row

    def transact(self, entries):
        with self.changed:
            for entry in entries["expect"]:
                row = self.rows.get(self.name(entry))
                found = row[1] if row and row[0] is not None else 0
                if found != entry["ver"]:
                    names = [self.name(e) for e in entries["expect"]]
                    return 412, {"rows": [self.show(n) for n in names
                                          if n in self.rows
                                          and self.rows[n][0] is not None],
                                 "ver": self.ver, "nowMs": self.now_ms()}
            self.ver += 1
            for entry in entries["setKeys"]:
                self.rows[self.name(entry)] = [entry["value"], self.ver]
            for entry in entries["remove"]:
                self.rows[self.name(entry)] = [None, self.ver]
            self.changed.notify_all()
            return 200, {"ver": self.ver, "nowMs": self.now_ms()}

    def get(self, query):
        limit = int(query.get("limit", 500))
        with self.changed:
            names = sorted(n for n, row in self.rows.items()
                           if n[0] == query["table"]
                           and n[1] == query.get("part", "")
                           and n[2] >= query.get("from", "")
                           and (not query.get("target")
                                or n[2] < query["target"])
                           and row[0] is not None)
            return 200, {"rows": [self.show(n) for n in names[:limit]],
                         "hasMore": len(names) > limit, "ver": self.ver,
                         "nowMs": self.now_ms()}

    def feed(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self.changed:
            while True:
                names = [n for n, row in self.rows.items()
                         if n[0] == query["table"] and row[1] > after]
                left = until - time.monotonic()
                if names or left <= 0:
                    break
                self.changed.wait(left)
            names.sort(key=lambda n: (self.rows[n][1], n))
            return 200, {"rows": [self.show(n) for n in names],
                         "ver": self.ver, "nowMs": self.now_ms()}

    # What the operator does.

    @staticmethod
    def encode(value):
        return base64.b64encode(json.dumps(value).encode()).decode()

    def operate(self, put=None, remove=()):
        """One transaction of the operator; put: {key: value}."""
        status, _ = self.transact({
            "expect": [],
            "setKeys": [{"table": "op", "key": key, "value": self.encode(value)}
                        for key, value in (put or {}).items()],
            "remove": [{"table": "op", "key": key} for key in remove]})
        assert status == 200

    def close(self):
        self.server.close()


def manifest(version, listeners, services):
    """listeners: {host: [route]}, see route()."""
    return {
        "version": "r%d" % version,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "listeners": [{"host": host, "ruleSet": routes}
                      for host, routes in listeners.items()],
        "clusters": [{"name": name, "healthPath": "/health",
                      "maxConnections": 220, "protocol": "h1", "tls": False}
                     for name in services],
    }


def route(name, prefix, service, kind="idempotent", timeout_ms=4000,
          attempts=2, priority=1):
    return {"name": name, "routeType": kind, "targetLatencyMs": 1000,
            "priority": priority, "match": {"pathPrefix": prefix},
            "action": {"service": service, "timeoutMs": timeout_ms,
                       "attempts": attempts}}


# The upstream beside a daemon.


class Upstream:
    """One lifetime of an upstream. work(request) returns the seconds it takes."""

    def __init__(self, node, instance, record, work=lambda request: 0.02,
                 slots=8, tells_load=True, heartbeat_s=1.5):
        self.node = node
        self.instance = instance
        self.record = record
        self.work = work
        self.slots = slots
        self.tells_load = tells_load
        self.heartbeat_s = heartbeat_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.lock = threading.Lock()
        self.ran = collections.Counter()  # request id -> runs
        self.is_live = True
        self.server = Server(node.app, self.handle)
        threading.Thread(target=self.beat, daemon=True).start()

    # Heartbeats.

    def beat(self):
        while self.is_live:
            self.report(self.state)
            time.sleep(self.heartbeat_s)

    def report(self, state):
        with self.lock:
            self.sequence += 1
            body = {"service": self.node.service,
                    "address": "%s:%d" % self.node.app,
                    "zone": self.node.zone, "version": "v1",
                    "slots": self.slots, "state": state, "coldRemainingMs": 0,
                    "sequence": self.sequence, "born": self.born}
        return self.tell("heartbeat", body)

    def tell(self, what, body):
        try:
            return request(self.node.control, "POST",
                           "/comfreydock/instances/%s/%s" % (self.instance, what),
                           {"Host": "%s:%d" % self.node.control,
                            "Content-Type": "application/json"},
                           json.dumps(body).encode(), timeout=1.0).status
        except (OSError, EOFError, ValueError):
            return 0

    # Requests.

    def load(self):
        return "%d,0,%d,100" % (self.running, self.slots)

    def handle(self, sock):
        reader = Reader(sock)
        while True:
            line, fields = reader.head()
            method, target, _ = line.split(" ")
            body = reader.body(fields)
            if target == "/health":
                status = 200 if self.state == "ready" else 503
                answer = {INSTANCE: self.instance}
                if self.tells_load:
                    answer[LOAD] = self.load()
                sock.sendall(answer_bytes(status, answer))
                continue
            self.handle_request(sock, method, target, fields, body)

    def handle_request(self, sock, method, target, fields, body):
        id = fields.get(ID.lower(), "")
        expected = fields.get(EXPECTED.lower())
        if expected and expected != self.instance:
            self.record.say("%s 421 id=%s expected=%s" %
                            (self.instance, id, expected))
            sock.sendall(answer_bytes(421, {ID: id, INSTANCE: self.instance}))
            return
        with self.lock:
            self.running += 1
            self.ran[id] += 1
        self.record.say("%s runs id=%s %s %s" %
                        (self.instance, id, method, target))
        time.sleep(self.work(target))
        with self.lock:
            self.running -= 1
        sock.sendall(answer_bytes(200, self.fields_of(id), b"ok " + id.encode()))

    def fields_of(self, id):
        fields = {ID: id, SIGNATURE: "3e1b.07." + id}
        if self.tells_load:
            fields[LOAD] = self.load()
        return fields

    def crash(self):
        self.is_live = False
        self.server.close()


# A client.


class Answer:
    def __init__(self, status, fields, body):
        self.status = status
        self.fields = fields
        self.body = body


def request(address, method, target, fields, body=None, timeout=10.0):
    """Sends one request on a connection of its own."""
    lines = ["%s %s HTTP/1.1" % (method, target)]
    lines += ["%s: %s" % item for item in fields.items()]
    if body is not None:
        lines.append("Content-Length: %d" % len(body))
    with socket.create_connection(address, timeout=min(timeout, 1.0)) as sock:
        sock.settimeout(timeout)
        sock.sendall("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" +
                     (body or b""))
        reader = Reader(sock)
        line, answer_fields = reader.head()
        return Answer(int(line.split(" ")[1]), answer_fields,
                      reader.body(answer_fields, is_answer=True))


def new_id():
    return os.urandom(8).hex()


class Caller:
    """Sends client requests and records them."""

    def __init__(self, record):
        self.record = record

    def call(self, node, host, target, method="GET", body=None,
             deadline_ms=4000, id=None):
        """RETURN VALUE: (id, status); status 0: no answer."""
        id = id or new_id()
        try:
            answer = request(node.outbound, method, target,
                             {"Host": host, ID: id, DEADLINE: str(deadline_ms)},
                             body, timeout=deadline_ms / 1000 + 1)
            status = answer.status
            reason = answer.fields.get("comfreydock-reason", "")
        except (OSError, EOFError, ValueError) as error:
            status, reason = 0, str(error)
        self.record.say("client at %s %s %s%s id=%s -> %d %s" %
                        (node.name, method, host, target, id, status, reason))
        return id, status


# Machines.

_used_ports = set()


def free_port(address):
    while True:
        with socket.socket() as sock:
            sock.bind((address, 0))
            port = sock.getsockname()[1]
        if port not in _used_ports:
            _used_ports.add(port)
            return port


def render(template, values):
    """The placeholders of DEPLOY.md that deploy/settings.json uses."""

    def find(path):
        value = values
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        return match.group(2) if find(match.group(1)) is not None else ""

    def placeholder(match):
        value = find(match.group(1))
        if match.group(2):
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000,
          "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6,
          "lossSlackMs": 200, "configMs": 2000, "rollbackSlackMs": 250,
          "maxStretchMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
          "budgetSlack": 56, "recoveryS": 15, "probesPerS": 60}


class Node:
    """A sidecar machine: a daemon, and the addresses of the upstream beside it."""

    def __init__(self, rig, name, number, zone, service, bounds):
        self.rig = rig
        self.name = name
        self.zone = zone
        self.service = service
        self.ip = "127.%d.%d.%d" % (rig.net[0], rig.net[1], number)
        self.app = (self.ip, free_port(self.ip))
        self.outbound = (self.ip, free_port(self.ip))
        self.ready = (self.ip, free_port(self.ip))
        self.control = (self.ip, free_port(self.ip))
        self.bounds = bounds
        self.process = None
        self.path = os.path.join(rig.folder, name + ".toml")
        self.log = open(os.path.join(rig.folder, name + ".log"), "ab")
        self.write_settings()

    def write_settings(self):
        def text(address):
            return "%s:%d" % address
        values = {
            "node": self.name, "zone": self.zone, "region": "reykjavik",
            "service": self.service, "app": text(self.app), "ip": self.ip,
            "internalPortRange": [free_port(self.ip), free_port("127.0.0.1")],
            "listen": {"outbound": text(self.outbound),
                       "ready": text(self.ready),
                       "control": text(self.control)},
            "platformApi": {"address": text(self.rig.store.address)},
            "bounds": self.bounds,
        }
        with open(os.path.join(TOP, self.rig.role["template"])) as template:
            rendered = render(template.read(), values)
        with open(self.path, "w") as file:
            file.write(rendered)

    def start(self):
        words = self.rig.role["run"].split(" ")
        words[words.index("/etc/comfreydock/boot.toml")] = self.path
        self.process = subprocess.Popen(
            words, cwd=TOP, stdin=subprocess.DEVNULL, stdout=self.log,
            stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.rig.folder,
                 "COMFREYDOCK_CONFIG": self.path})

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def is_ready(self):
        try:
            return request(self.ready, "GET", "/comfreydock/ready",
                           {"Host": self.name}, timeout=1.0).status == 200
        except (OSError, EOFError, ValueError):
            return False


class Rig:
    """Daemons and stand-ins of one run."""

    def __init__(self):
        self.folder = tempfile.mkdtemp(prefix="comfreydock-review-")
        part = os.urandom(2)
        self.net = (16 + part[0] % 64, part[1])
        with open(os.path.join(TOP, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["daemon"]
        program = os.path.join(TOP, self.role["run"].split(" ")[0])
        if not os.access(program, os.X_OK):
            raise CannotRun("the build of the deploy file has not run")
        ip = "127.%d.%d.1" % self.net
        self.store = Store((ip, free_port(ip)))
        self.nodes = []

    def add_node(self, zone, service, bounds=None):
        number = len(self.nodes) + 2
        node = Node(self, "sidecar-%s-%d" % (zone, number), number, zone,
                    service, {**BOUNDS, **(bounds or {})})
        self.nodes.append(node)
        return node

    def wait_until(self, what, is_true, limit_s=20.0):
        until = time.monotonic() + limit_s
        while not is_true():
            if time.monotonic() > until:
                raise CannotRun("timed out: " + what)
            time.sleep(0.05)

    def close(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        self.store.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    pass


def main(folder, play):
    """Runs a case: play(rig, record, has_trouble) returns a list of breaks.

    Exits with 1 if a rule was broken, 0 if it held and 2 if the case could not
    run.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.say("TROUBLE=%d" % has_trouble)
    status, rig = 2, None
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        rig = Rig()
        breaks = play(rig, record, has_trouble)
        for text in breaks:
            record.say("BROKEN " + text)
        status = 1 if breaks else 0
    except CannotRun as error:
        record.say("could not run: %s" % error)
    except Exception as error:  # a fault of the script is no result
        record.say("could not run: %s: %s" % (type(error).__name__, error))
    finally:
        if rig:
            rig.close()
        record.say("exit %d" % status)
        record.close()
    print("exit %d; see record.txt" % status)
    os._exit(status)
