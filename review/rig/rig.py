"""Stand-ins for the users' platform, runners and clients, and control of the
project's own processes. Everything listens on loopback addresses and free
ports. One asyncio loop runs all stand-ins; each host is a separate process.
"""

import asyncio
import base64
import ctypes
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.environ.get("HICKORYSTANDD", os.path.join(ROOT, "target", "hickorystandd"))

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


# Below the range from which the kernel takes ports of outgoing connections.
PORTS = list(range(20000, 30000))
random.shuffle(PORTS)


def free_port():
    while True:
        port = PORTS.pop()
        with socket.socket() as one:
            one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                one.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class CouldNotRun(Exception):
    pass


class Record:
    """The lines of record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, self.query = target.partition("?")
        self.headers = headers  # pairs, in order
        self.body = body

    def header(self, name, fallback=None):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return fallback

    def param(self, name, fallback=""):
        return urllib.parse.parse_qs(self.query).get(name, [fallback])[0]


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            key, _, value = line.partition(":")
            headers.append((key.strip(), value.strip()))
    return lines[0], headers


async def read_body(reader, headers):
    values = {key.lower(): value for key, value in headers}
    if "chunked" in values.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(values.get("content-length", "0")))


async def serve_http(port, answer, idle=None, channels=None):
    """Serves `answer(request, writer)`, which writes the whole answer, or
    returns False to close the channel. Closes channels that are idle for `idle`
    seconds. `channels` is a set that gets the writers of all open channels."""
    channels = set() if channels is None else channels

    async def on_channel(reader, writer):
        channels.add(writer)
        try:
            while True:
                line, headers = await asyncio.wait_for(read_head(reader), idle)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ", 2)
                if await answer(Request(method, target, headers, body), writer) is False:
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError,
                asyncio.CancelledError):
            pass
        finally:
            channels.discard(writer)
            writer.close()

    return await asyncio.start_server(on_channel, "127.0.0.1", port, limit=1 << 22)


def http_answer(status, body, headers=()):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    for key, value in headers:
        head += f"{key}: {value}\r\n"
    return head.encode("latin-1") + b"\r\n" + body


class Store:
    """The platform's metadata store, in memory."""

    PAGE = 500

    def __init__(self, record):
        self.record = record
        self.port = free_port()
        self.rev = 100
        self.items = {}  # key -> dict(value, rev, created, lease)
        self.leases = {}  # lease -> [ttl, end]
        self.next_lease = 1
        self.log = []  # (rev, key, deleted)
        self.changed = asyncio.Event()
        self.calls = 0
        self.fault = None  # called with each request before it is handled

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.server = await serve_http(self.port, self.answer)
        self.expirer = asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [each for each, (_, end) in self.leases.items() if end <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)
        return True

    def note(self, key, deleted):
        self.log.append((self.rev, key, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        if isinstance(value, str):
            value = value.encode()
        self.rev += 1
        old = self.items.get(key)
        self.items[key] = {"value": value, "rev": self.rev,
                           "created": old["created"] if old else self.rev,
                           "lease": lease}
        self.note(key, False)

    def remove(self, key):
        if key in self.items:
            self.rev += 1
            del self.items[key]
            self.note(key, True)

    def shown(self, key):
        item = self.items.get(key)
        if item is None:
            return {"key": key, "rev": 0, "created": 0, "lease": 0, "value": ""}
        return {"key": key, "value": base64.b64encode(item["value"]).decode(),
                "rev": item["rev"], "created": item["created"], "lease": item["lease"]}

    async def answer(self, request, writer):
        self.calls += 1
        if self.fault is not None:
            verdict = await self.fault(request)
            if verdict is False:
                return False
            if verdict is not None:
                writer.write(http_answer(verdict, b"{}"))
                return True
        status, body = await self.handle(request)
        writer.write(http_answer(status, json.dumps(body).encode(),
                                 [("Content-Type", "application/json")]))
        return True

    async def handle(self, request):
        path = request.path
        if path == "/kv-key":
            key = request.param("key")
            found = key in self.items
            body = self.shown(key) if found else {}
            body["as-of"] = self.rev
            return (200 if found else 404), body
        if path == "/kv-range":
            prefix, after = request.param("path-prefix"), request.param("after")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {"items": [self.shown(k) for k in keys[:self.PAGE]],
                         "truncated": len(keys) > self.PAGE, "as-of": self.rev}
        if path == "/kv-watch":
            return await self.watch(request)
        if path == "/kv-txn":
            return self.transact(json.loads(request.body))
        if path == "/kv-lease":
            ttl = max(int(json.loads(request.body)["ttl-ms"]), 1000)
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = [ttl / 1000, time.monotonic() + ttl / 1000]
            return 200, {"lease": lease, "ttl-ms": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if path.startswith("/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease][1] = time.monotonic() + ttl
            return 200, {"ttl-ms": int(ttl * 1000)}
        return (200 if self.end_lease(lease) else 404), {}

    async def watch(self, request):
        prefix, after = request.param("path-prefix"), int(request.param("after", "0"))
        end = time.monotonic() + int(request.param("wait-ms", "0")) / 1000
        while True:
            events = []
            for rev, key, deleted in self.log:
                if rev > after and key.startswith(prefix):
                    events.append({"key": key, "rev": rev, "deleted": True} if deleted
                                  else self.shown(key))
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as-of": self.rev}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        for row in body.get("precondition", []):
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                return 412, {"items": [self.shown(each["key"])
                                       for each in body["precondition"]]}
        for put in body.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        for put in body.get("puts", []):
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
        for put in body.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"rev": self.rev}


class Cloud:
    """The platform's API for duties. Records each call in order."""

    def __init__(self, record):
        self.record = record
        self.port = free_port()
        self.calls = []

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.server = await serve_http(self.port, self.answer)

    async def answer(self, request, writer):
        call = {"at": self.record.now(), "path": request.path,
                "holder": request.header("Duty-Holder"),
                "fence": int(request.header("Fence-Token", "0")),
                "body": json.loads(request.body)}
        self.calls.append(call)
        self.record.add(f"platform call {request.path} holder={call['holder']} "
                        f"fence={call['fence']} {request.body.decode()}")
        writer.write(http_answer(200, b"{}"))
        return True


class Runner:
    """A sound plain runner. Work takes `work` seconds."""

    idle = None

    def __init__(self, record, store, name, service="desk", zone="z-a", work=0.03):
        self.record, self.store, self.name = record, store, name
        self.service, self.zone, self.work = service, zone, work
        self.port = free_port()
        self.sequence = 0
        self.state = "serving"
        self.born = int(time.time() * 1000)
        self.active = 0
        self.channels = set()
        self.slots = 6
        self.runs = []  # (time, Attempt-Id, tenant, method, target, body)

    async def start(self):
        self.server = await serve_http(self.port, self.answer, self.idle, self.channels)
        self.publish()
        self.beats = asyncio.create_task(self.beat())

    def publish(self):
        self.sequence += 1
        self.store.put("servers/" + self.name, json.dumps({
            "service": self.service, "address": f"127.0.0.1:{self.port}",
            "zone": self.zone, "version": "1.0", "slots": self.slots,
            "state": self.state, "cold-left-ms": 0, "sequence": self.sequence,
            "born": self.born}))

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            self.publish()

    async def answer(self, request, writer):
        load = ("Runner-Load", f"{self.active},0,{self.slots}")
        if request.path == "/health":
            writer.write(http_answer(200, b"{}", [("Runner-Id", self.name), load]))
            return True
        attempt = request.header("Attempt-Id")
        echo = [("Attempt-Id", attempt or ""), ("Keep-Alive", "timeout=5"), load]
        if attempt is None:
            self.record.add(f"{self.name} answers 400 to {request.method} {request.target}, "
                            "which has no id")
            writer.write(http_answer(400, b"", [("Not-Executed", "1"), load]))
            return True
        if request.header("Expect-Instance", self.name) != self.name:
            writer.write(http_answer(421, b"", echo + [("Not-Executed", "1")]))
            return True
        return await self.run(request, writer, attempt, echo)

    async def run(self, request, writer, attempt, echo):
        self.runs.append((self.record.now(), attempt, request.header("Tenant"),
                          request.method, request.target, request.body))
        self.record.add(f"run {attempt} at {self.name}")
        self.active += 1
        try:
            await asyncio.sleep(self.work)
        finally:
            self.active -= 1
        body = f"{self.name} {attempt}\n".encode()
        answer = http_answer(200, body, echo + [("Response-Seal", f"seal.{attempt}")])
        if request.method == "HEAD":
            answer = answer[:-len(body)]
        writer.write(answer)
        return True


def end_with_parent():
    """Run in a new process: the kernel ends it when this program ends."""
    ctypes.CDLL(None).prctl(1, int(signal.SIGKILL))  # PR_SET_PDEATHSIG


def render(text, fields, current=None):
    """Fills in a template as DEPLOY.md describes it."""

    def value_of(name):
        if name == ".":
            return current
        value = fields
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit():
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def shown(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    def section(match):
        value = value_of(match.group(2))
        absent = value is None or value is False
        if match.group(1) == "^":
            return render(match.group(3), fields, value) if absent else ""
        return "" if absent else render(match.group(3), fields, value)

    text = re.sub(r"\{\{([#^])([^}]*)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([^}]*)\}\}", lambda match: shown(value_of(match.group(1))), text)


class GarblingRunner(Runner):
    """A plain runner that closes channels which are idle for `idle` seconds. That
    is under a whole second, so its answers state no timeout. While `garbles` is
    set, it repeats a share of its answers on their channel, late: before the
    answer to the next request there (PROTOCOL.md: "An extra response may arrive
    late, at the point where the next response is expected")."""

    idle = 0.9

    def __init__(self, record, store, name, seed, share, **more):
        super().__init__(record, store, name, **more)
        self.random, self.share, self.garbles = random.Random(seed), share, False
        self.answers = self.extras = 0

    async def answer(self, request, writer):
        held = HeldAnswer()
        kept = await super().answer(request, held)
        text = held.text.replace(b"Keep-Alive: timeout=5\r\n", b"")
        extra = getattr(writer, "late_extra", None)
        if extra is not None:
            writer.late_extra = None
            self.extras += 1
            self.record.add(f"{self.name} sends an extra answer before that to "
                            f"{request.header('Attempt-Id', request.target)}: "
                            f"{extra.partition(b' X')[0].decode()}")
            writer.write(extra)
        writer.write(text)
        self.answers += 1
        if self.garbles and self.random.random() < self.share:
            writer.late_extra = text
        return kept


class HeldAnswer:
    """Collects what an answer writes."""

    def __init__(self):
        self.text = b""

    def write(self, text):
        self.text += text


class Host:
    """One process of the project, with the settings of the deploy file."""

    def __init__(self, record, name, store, cloud, folder, zone="z-a", first=True):
        self.record, self.name = record, name
        self.callers, self.ready_port = free_port(), free_port()
        self.metrics, self.peers = free_port(), free_port()
        self.settings = os.path.join(folder, name + ".ini")
        self.log_path = os.path.join(folder, name + ".log")
        self.store, self.cloud, self.zone, self.first = store, cloud, zone, first
        self.process = None
        self.ends = []  # (time, exit code) of processes that ended by themselves
        self.stopping = self.closed = False

    def fields(self):
        """The fields of DEPLOY.md that the template of the deploy file names,
        with the bounds of the site cdd-hanoi."""
        return {
            "node-name": self.name, "zone": self.zone, "bootstrap": self.first,
            "ip": "127.0.0.1", "port-range": [self.peers, self.metrics],
            "listen": {"front": f"127.0.0.1:{self.callers}",
                       "ready": f"127.0.0.1:{self.ready_port}"},
            "limits": {"cpu-share": 0.25},
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "split",
                          "stream", "engine", "tenants", "leader", "platform"],
            "platform": {"address": self.store}, "cloud-api": {"address": self.cloud},
            "bounds": {"lease-ms": 3000, "report-window-s": 5, "usage-late-s": 10,
                       "grace-s": 8, "revoke-ms": 5000, "strict-revoke": True,
                       "config-apply-ms": 2000, "drain-ms": 2000, "retry-window-s": 10,
                       "retry-budget-ratio": 0.2, "retry-slack": 56},
        }

    def write_settings(self):
        with open(os.path.join(ROOT, "deploy", "relay.ini.template"), encoding="utf-8") as template:
            text = template.read()
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(render(text, self.fields()))

    async def start(self):
        if self.closed:
            return
        self.write_settings()
        self.stopping = False
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [PROGRAM], stdout=log, stderr=log, cwd=ROOT, preexec_fn=end_with_parent,
                env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                     "LANG": "C", "HICKORYSTAND_SETTINGS": self.settings})
        self.record.add(f"host {self.name} started")
        self.watcher = asyncio.create_task(self.watch(self.process))

    async def watch(self, process):
        while process.poll() is None:
            await asyncio.sleep(0.02)
        code = process.returncode
        if self.stopping:
            self.record.add(f"host {self.name} stopped with {code}")
            return
        self.ends.append((self.record.now(), code))
        self.record.add(f"host {self.name} ended by itself with {code}")
        self.first = False
        await asyncio.sleep(0.5)  # the platform restarts it after a short delay
        if not self.stopping:
            await self.start()

    def up(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        if self.up():
            self.process.send_signal(number)

    async def stop(self, number=signal.SIGKILL):
        self.stopping = True
        self.send(number)
        while self.up():
            await asyncio.sleep(0.02)

    def close(self):
        """Ends the process for good."""
        self.closed = self.stopping = True
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(
                ask("127.0.0.1", self.ready_port, b"GET /readiness HTTP/1.1\r\nHost: x\r\n"
                    b"Connection: close\r\n\r\n"), 1)
            return answer is not None and answer[0] == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


async def read_answer(reader):
    line, headers = await read_head(reader)
    return int(line.split(" ")[1]), headers, await read_body(reader, headers)


async def ask(host, port, request):
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(request)
        await writer.drain()
        return await read_answer(reader)
    finally:
        writer.close()


def configuration(version, routes, services, tenants=None, limits=None):
    value = {"version": version, "routes": routes, "services": services,
             "limits": limits or {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                                  "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
    if tenants is not None:
        value["tenants"] = tenants
    return json.dumps(value)


def route(name, kind, service, prefix, timeout=2000, attempts=2, **more):
    return {"name": name, "host": "desk.example", "path-prefix": prefix, "kind": kind,
            "timeout-ms": timeout, "target-latency-ms": 300, "priority": 2,
            "service": service, "max-attempts": attempts, "keyless": False,
            "sticky": False, **more}


async def until(check, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if await check():
            return
        await asyncio.sleep(0.1)
    raise CouldNotRun(what)


def run(folder, main):
    """Runs `main(record, folder, trouble)`, ends all processes, and exits."""
    folder = os.path.abspath(folder)
    record = Record(folder)
    work = tempfile.mkdtemp(prefix="hickorystand-review-")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    hosts = []

    async def whole():
        try:
            return await asyncio.wait_for(main(record, work, trouble, hosts), 110)
        finally:
            for host in hosts:
                host.close()

    code = COULD_NOT_RUN
    try:
        if not os.access(PROGRAM, os.X_OK):
            raise CouldNotRun(f"{os.path.relpath(PROGRAM, ROOT)} is missing: build first")
        code = asyncio.run(whole())
    except Exception as error:  # whatever it is, the rule was not shown broken
        record.add(f"could not run: {error!r}")
    record.add({HELD: "the rule held", BROKEN: "the rule was broken",
                COULD_NOT_RUN: "the case could not run"}[code])
    print(open(os.path.join(folder, "record.txt"), encoding="utf-8").read()[-1500:])
    if os.environ.get("KEEP_LOGS"):
        print("logs:", work)
    else:
        shutil.rmtree(work, ignore_errors=True)
    sys.exit(code)
