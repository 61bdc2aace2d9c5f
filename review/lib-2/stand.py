"""Stand-ins for the cases of the second review: store, upstream and client.

Each speaks what PROTOCOL.md says. A case runs them in one process and starts
the daemons as processes of their own, see Daemon.
"""

import asyncio
import base64
import itertools
import json
import os
import re
import shutil
import signal
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DEADLINE = "x-comfreydock-deadline-ms"
REQUEST_ID = "x-comfreydock-request-id"
EXPECTED = "x-comfreydock-expected-instance"


class Unable(Exception):
    """The case could not run."""


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def add(self, kind, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{time.monotonic() - self.begin:9.3f} {kind} {text}\n")
        self.file.flush()


class Head:
    def __init__(self, first, fields):
        self.first = first
        self.fields = fields

    def get(self, name):
        for key, value in self.fields:
            if key.lower() == name:
                return value
        return None


async def read_head(reader):
    """Returns None at the end of the connection."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")[:-2]
    fields = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields.append((name.strip(), value.strip()))
    return Head(lines[0], fields)


async def read_body(reader, head):
    if (head.get("transfer-encoding") or "").lower() == "chunked":
        parts = []
        while True:
            line = await reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return b"".join(parts)
            parts.append(part[:-2])
    length = int(head.get("content-length") or 0)
    return await reader.readexactly(length) if length else b""


def answer_bytes(status, fields, body):
    names = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {names.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """A listening socket whose connections can be cut at once."""

    def __init__(self):
        self.server = None
        self.writers = set()

    async def listen(self, ip, port):
        self.server = await asyncio.start_server(
            self.serve, ip, port, limit=1 << 20, backlog=512)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def close(self):
        """As when the process ends: the port refuses, connections end."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's table service and object store."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.rows = {}
        self.changes = []
        self.objects = {}
        self.version = 100
        self.changed = asyncio.Event()

    @property
    def address(self):
        return "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def put(self, table, part, key, value):
        self.version += 1
        row = {"table": table, "part": part, "key": key, "ver": self.version}
        if value is None:
            self.rows.pop((table, part, key), None)
            row["tombstone"] = True
        else:
            row["value"] = value
            self.rows[table, part, key] = row
        self.changes.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    def put_manifest(self, manifest):
        text = json.dumps(manifest).encode()
        self.put("op", "", "config", base64.b64encode(text).decode())
        self.record.add("manifest", version=manifest["version"])

    def transact(self, call):
        for want in call.get("expect", []):
            key = (want["table"], want.get("part", ""), want["key"])
            if self.rows.get(key, {}).get("ver", 0) != want["ver"]:
                rows = [self.rows[k] for k in
                        ((w["table"], w.get("part", ""), w["key"])
                         for w in call["expect"]) if k in self.rows]
                return 412, {"rows": rows, "ver": self.version}
        for row in call.get("setKeys", []):
            self.put(row["table"], row.get("part", ""), row["key"], row["value"])
        for row in call.get("remove", []):
            if (row["table"], row.get("part", ""), row["key"]) in self.rows:
                self.put(row["table"], row.get("part", ""), row["key"], None)
        return 200, {"ver": self.version}

    def get(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        first, last = query.get("from", ""), query.get("target")
        limit = min(int(query.get("limit", 500)), 500)
        keys = sorted(k for k in self.rows if k[0] == table and k[1] == part
                      and k[2] >= first and (last is None or k[2] < last))
        return 200, {"rows": [self.rows[k] for k in keys[:limit]],
                     "hasMore": len(keys) > limit, "ver": self.version}

    async def feed(self, query):
        after = int(query.get("after", 0))
        end = time.monotonic() + min(int(query.get("waitMs", 0)), 30000) / 1000
        if after > self.version:
            return 410, {}
        while True:
            rows = [row for row in self.changes
                    if row["ver"] > after and row["table"] == query.get("table")]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, "ver": self.version}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def answer(self, method, target, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in
                 parse_qs(url.query, keep_blank_values=True).items()}
        call = url.path.removeprefix("/comfreydock/")
        if call == "rows-tx":
            await asyncio.sleep(0.005)
            return self.transact(json.loads(body))
        if call == "rows-get":
            return self.get(query)
        if call == "rows-feed":
            return await self.feed(query)
        kind, _, name = call.partition("/")
        if kind == "blob-put":
            self.objects[unquote(name)] = body
            return 200, {}
        if kind == "blob-get":
            found = self.objects.get(unquote(name))
            return (404, {}) if found is None else (200, found)
        return 404, {}

    async def serve_one(self, reader, writer):
        head = await read_head(reader)
        method, target, _ = head.first.split(" ")
        status, body = await self.answer(method, target,
                                         await read_body(reader, head))
        if not isinstance(body, bytes):
            body["nowMs"] = int(time.monotonic() * 1000)
            body = json.dumps(body).encode()
        writer.write(answer_bytes(status, [("Content-Type", "application/json"),
                                           ("Store-Era", "1")], body))
        await writer.drain()
        return True


class Upstream(Server):
    """A sound server. A case changes what its fields say."""

    def __init__(self, record, ip, port, control, service, name, slots=12):
        super().__init__()
        self.record = record
        self.ip, self.port, self.control = ip, port, control
        self.service, self.name, self.slots = service, name, slots
        self.state = "ready"
        self.health_status = 200
        self.work_s = 0.02
        self.sequence = 0
        self.born_ms = None  # only newer pages know it
        self.running = 0
        self.runs = []
        self.extra_fields = []
        self.beats = None
        self.answer_health = None

    async def start(self, heartbeat_s=1.5):
        await self.listen(self.ip, self.port)
        self.record.add("upstream-starts", name=self.name, service=self.service,
                        at=f"{self.ip}:{self.port}")
        self.beats = asyncio.ensure_future(self.beat(heartbeat_s))

    async def crash(self):
        self.record.add("upstream-ends", name=self.name)
        if self.beats:
            self.beats.cancel()
        await self.close()

    async def beat(self, every_s):
        while True:
            await self.report()
            await asyncio.sleep(every_s)

    async def report(self, state=None):
        self.sequence += 1
        body = {"service": self.service, "address": f"{self.ip}:{self.port}",
                "zone": "z", "version": "v1", "slots": self.slots,
                "state": state or self.state, "coldRemainingMs": 0,
                "sequence": self.sequence}
        if self.born_ms is not None:
            body["born"] = self.born_ms
        return await self.tell("heartbeat", body)

    async def tell(self, call, body):
        path = f"/comfreydock/instances/{self.name}/{call}"
        try:
            answer = await asyncio.wait_for(
                http(self.control, "POST", path,
                     [("Content-Type", "application/json")],
                     json.dumps(body).encode() if body else b""), 1)
            status = answer.status
        except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError):
            status = 0
        self.record.add("report", name=self.name, call=call, status=status,
                        state=body["state"] if body else "-",
                        sequence=body["sequence"] if body else "-")
        return status

    def load(self):
        return f"{min(self.running, self.slots)},0,{self.slots},100"

    async def health(self, writer):
        if self.answer_health:
            return await self.answer_health(self, writer)
        status = self.health_status if self.state == "ready" else 503
        writer.write(answer_bytes(status, [
            ("X-Comfreydock-Instance-Id", self.name),
            ("X-Comfreydock-Server-Load", self.load())], b""))
        await writer.drain()
        return True

    async def serve_one(self, reader, writer):
        head = await read_head(reader)
        method, target, _ = head.first.split(" ")
        if target == "/health":
            return await self.health(writer)
        expected = head.get(EXPECTED)
        if expected and expected != self.name:
            self.record.add("misdirected", at=self.name, expected=expected,
                            id=head.get(REQUEST_ID))
            writer.write(answer_bytes(421, [
                ("X-Comfreydock-Instance-Id", self.name)], b""))
            await writer.drain()
            return True
        run = {"id": head.get(REQUEST_ID), "path": target, "method": method,
               "at": self, "when": time.monotonic()}
        self.runs.append(run)
        self.record.add("run", id=run["id"], method=method, path=target,
                        at=self.name, service=self.service,
                        expected=expected or "-")
        body = await read_body(reader, head)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        return await self.answer(writer, run, body)

    async def answer(self, writer, run, body):
        writer.write(answer_bytes(200, [
            ("X-Comfreydock-Request-Id", run["id"]),
            ("X-Comfreydock-Response-Signature", f"sig.{self.name}"),
            ("X-Comfreydock-Server-Load", self.load())] + self.extra_fields,
            f"answer to {run['id']}".encode()))
        await writer.drain()
        return True


class Answer:
    def __init__(self, status, head, body):
        self.status, self.head, self.body = status, head, body


async def http(address, method, target, fields, body=b""):
    """One request on a connection of its own."""
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 20)
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        names = {name.lower() for name, _ in fields}
        if "host" not in names:
            lines.append(f"Host: {address}")
        lines += [f"{name}: {value}" for name, value in fields]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        head = await read_head(reader)
        return Answer(int(head.first.split(" ")[1]), head,
                      await read_body(reader, head))
    finally:
        writer.close()


class Client:
    ids = itertools.count(1)

    def __init__(self, record, outbound, host):
        self.record, self.outbound, self.host = record, outbound, host

    def next_id(self):
        return f"{next(Client.ids):016x}"

    async def send(self, method, path, deadline_ms, body=b""):
        name = self.next_id()
        fields = [("Host", self.host), ("X-Comfreydock-Request-Id", name),
                  ("X-Comfreydock-Deadline-Ms", deadline_ms)]
        self.record.add("sent", id=name, method=method, path=path,
                        to=self.outbound)
        try:
            answer = await asyncio.wait_for(
                http(self.outbound, method, path, fields, body),
                deadline_ms / 1000)
        except asyncio.TimeoutError:
            answer = Answer(0, "deadline", b"")
        except (OSError, asyncio.IncompleteReadError) as error:
            answer = Answer(-1, type(error).__name__, b"")
        self.record.add("answered", id=name, status=answer.status)
        return name, answer


class Template:
    """The platform's template language, as far as deploy/settings.json uses it."""

    def __init__(self, fields):
        self.fields = fields

    def find(self, name):
        value = self.fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def section(self, match):
        value = self.find(match.group(1))
        return self.render(match.group(2)) if value not in (None, False) else ""

    def place(self, match):
        value = self.find(match.group(1))
        if match.group(2):
            return json.dumps(value)
        return "" if value is None else str(value)

    def render(self, text):
        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", self.section, text,
                      flags=re.S)
        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", self.place, text)


class Daemon:
    """One machine with its daemon, started as deploy/system.toml says."""

    PORTS = {"inbound": 8145, "outbound": 8141, "ready": 8140, "control": 8146,
             "app": 8147, "internal": 7660}

    def __init__(self, record, folder, index, service, zone, store):
        self.record = record
        self.name = f"sidecar-{index}"
        # Each run has addresses of its own, so its ports are free.
        self.ip = f"127.{os.getpid() >> 8 & 127 | 64}.{os.getpid() & 255}.{index}"
        self.ports = self.PORTS
        self.folder = folder
        self.process = None
        self.fields = {
            "node": self.name, "zone": zone, "region": "r", "service": service,
            "ip": self.ip, "app": self.at("app"),
            "internalPortRange": [self.ports["internal"],
                                  self.ports["internal"] + 15],
            "listen": {name: self.at(name) for name in
                       ("inbound", "outbound", "ready", "control")},
            "platformApi": {"address": store},
            "bounds": {"retryBudgetRatio": 0.2, "budgetSlack": 56,
                       "probesPerS": 60, "graceS": 6},
        }
        self.settings = os.path.join(folder, f"{self.name}.json")
        self.write_settings()

    def write_settings(self, **changes):
        self.fields.update(changes)
        with open(os.path.join(ROOT, "deploy/settings.json"),
                  encoding="utf-8") as file:
            text = Template(self.fields).render(file.read())
        # The machines of a case share one loopback admin address.
        text = text.replace('"address": "127.0.0.1", "port": '
                            + str(self.ports["internal"] + 15),
                            '"address": "127.0.0.1", "port": 0')
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    def at(self, name):
        return f"{self.ip}:{self.ports[name]}"

    @property
    def outbound(self):
        return self.at("outbound")

    async def start(self):
        program = os.path.join(ROOT, "target/comfreydockd/comfreydockd")
        if not os.access(program, os.X_OK):
            raise Unable(f"{program} is not built")
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            program, "--config", self.settings, cwd=ROOT, stdout=log, stderr=log)
        log.close()
        self.record.add("daemon-starts", name=self.name, pid=self.process.pid)

    def memory_mb(self):
        """Resident memory now, and at its peak."""
        values = {}
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as f:
                for line in f:
                    name, _, value = line.partition(":")
                    if name in ("VmRSS", "VmHWM"):
                        values[name] = int(value.split()[0]) / 1024
        except OSError:
            return 0, 0
        return values.get("VmRSS", 0), values.get("VmHWM", 0)

    def signal(self, number):
        self.record.add("signal", name=self.name, signal=number.name)
        try:
            self.process.send_signal(number)
        except ProcessLookupError:
            pass

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    async def stop(self):
        if not self.process or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.terminate()
        try:
            await asyncio.wait_for(self.process.wait(), 8)
        except asyncio.TimeoutError:
            await self.kill()

    async def wait_ready(self, timeout_s=15):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            try:
                answer = await asyncio.wait_for(
                    http(self.at("ready"), "GET", "/comfreydock/ready", []), 1)
                if answer.status == 200:
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise Unable(f"{self.name} is not ready")


def route(name, kind, prefix, service, timeout_ms, target_ms, priority=1,
          attempts=2):
    return {"name": name, "routeType": kind, "targetLatencyMs": target_ms,
            "priority": priority, "match": {"pathPrefix": prefix},
            "action": {"service": service, "timeoutMs": timeout_ms,
                       "attempts": attempts}}


def manifest(version, host, routes, services):
    return {"version": version,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "listeners": [{"host": host, "ruleSet": routes}],
            "clusters": [{"name": name, "healthPath": "/health",
                          "maxConnections": 220, "protocol": "h1",
                          "tls": False} for name in services]}


def run_case(case, folder):
    """case(record, temporary folder, with trouble) returns whether the rule
    held. Ends the process with the status that a case has to have."""
    # So that the case ends its processes when it is ended itself.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as temporary:
        try:
            held = asyncio.run(asyncio.wait_for(
                case(record, temporary, trouble), 115))
        except (Unable, asyncio.TimeoutError, OSError,
                KeyboardInterrupt) as error:
            record.add("unable", error=repr(error))
            print(f"could not run: {error!r}")
            sys.exit(2)
        if os.environ.get("KEEP"):
            shutil.copytree(temporary, os.environ["KEEP"], dirs_exist_ok=True)
    record.add("verdict", held=held)
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
