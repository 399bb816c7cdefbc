"""A small deployment on loopback for the cases of this review.

Starts hosts with the command of the deploy file, and stand-ins of the
platform's store, its API, and runners in this process. Everything that is sent,
answered and run is noted in a record.

Index
  Record     what was seen, with times
  Store      the platform's metadata store
  CloudApi   the platform's API for duties
  Runner     a runner of a plain service, or of a service with streams
  Host       one process of the system
  Deployment all of them
  call       one request of a client, on a channel of its own
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "hickorystandd"

HOST_NAME = "shop.example"
KEY = "key-of-tenant-one"
TENANT = "tenant-one"


def free_ports(count):
  """Ports that are free now, below the range of ephemeral ports."""
  found = []
  candidates = list(range(20000, 31000))
  random.shuffle(candidates)
  for port in candidates:
    with socket.socket() as probe:
      try:
        probe.bind(("127.0.0.1", port))
      except OSError:
        continue
    found.append(port)
    if len(found) == count:
      return found
  raise RuntimeError("no free ports")


class Record:
  """Lines with seconds since the start, written to a file at the end."""

  def __init__(self):
    self.start = time.monotonic()
    self.lines = []

  def now(self):
    return time.monotonic() - self.start

  def note(self, text):
    self.lines.append(f"{self.now():8.3f}  {text}")

  def write(self, path):
    pathlib.Path(path).write_text("\n".join(self.lines) + "\n")


async def read_message(reader):
  """Start line, headers (lower-case names) and body; None at the end."""
  try:
    head = await reader.readuntil(b"\r\n\r\n")
  except (asyncio.IncompleteReadError, ConnectionError):
    return None
  lines = head.decode("latin-1").split("\r\n")
  headers = {}
  for line in lines[1:]:
    if ":" in line:
      name, value = line.split(":", 1)
      headers[name.strip().lower()] = value.strip()
  body = b""
  try:
    if headers.get("transfer-encoding", "").lower() == "chunked":
      while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
          break
        body += chunk[:-2]
    elif "content-length" in headers:
      body = await reader.readexactly(int(headers["content-length"]))
  except (asyncio.IncompleteReadError, ConnectionError, ValueError):
    return None
  return lines[0], headers, body


def answer_bytes(status, body=b"", headers=()):
  text = f"HTTP/1.1 {status} Answer\r\n"
  for name, value in headers:
    text += f"{name}: {value}\r\n"
  return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Server:
  """An HTTP/1.1 server that keeps channels open."""

  def __init__(self, port):
    self.port = port
    self.server = None
    self.channels = set()

  async def start(self):
    self.server = await asyncio.start_server(
        self.serve, "127.0.0.1", self.port, backlog=512, limit=1 << 20)

  async def stop(self):
    if self.server:
      self.server.close()
    for writer in list(self.channels):
      writer.transport.abort()

  async def serve(self, reader, writer):
    self.channels.add(writer)
    try:
      while True:
        message = await read_message(reader)
        if message is None:
          return
        answer = await self.answer(message, reader, writer)
        if answer is None:
          return
        writer.write(answer)
        await writer.drain()
    except (ConnectionError, asyncio.CancelledError):
      pass
    finally:
      self.channels.discard(writer)
      writer.close()

  async def answer(self, message, reader, writer):
    raise NotImplementedError


class Store(Server):
  """The platform's metadata store: sound, with an answer time of 4 ms."""

  def __init__(self, port):
    super().__init__(port)
    self.items = {}  # key -> (value, rev, created, lease)
    self.leases = {}  # id -> (end, ttl)
    self.rev = 1
    self.last_lease = 100

  def put(self, key, value, lease=0):
    self.rev += 1
    created = self.items[key][2] if key in self.items else self.rev
    self.items[key] = (value, self.rev, created, lease)

  def put_json(self, key, value):
    self.put(key, json.dumps(value).encode())

  def remove(self, key):
    if self.items.pop(key, None):
      self.rev += 1

  def expire(self):
    now = time.monotonic()
    for lease in [one for one, (end, _) in self.leases.items() if end <= now]:
      self.end_lease(lease)

  def end_lease(self, lease):
    del self.leases[lease]
    for key in [k for k, item in self.items.items() if item[3] == lease]:
      self.remove(key)

  def item(self, key):
    value, rev, created, lease = self.items[key]
    return {"key": key, "value": base64.b64encode(value).decode(), "rev": rev,
            "created": created, "lease": lease}

  async def answer(self, message, reader, writer):
    await asyncio.sleep(0.004)
    self.expire()
    line, _, body = message
    method, target, _ = line.split(" ")
    path, _, query = target.partition("?")
    asked = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
    sent = json.loads(body) if body else {}
    status, result = self.call(method, path, asked, sent)
    return answer_bytes(status, json.dumps(result).encode(),
                        [("Content-Type", "application/json")])

  def call(self, method, path, asked, sent):
    if path == "/kv-key":
      if asked["key"] not in self.items:
        return 404, {"as-of": self.rev}
      return 200, {**self.item(asked["key"]), "as-of": self.rev}
    if path == "/kv-range":
      keys = sorted(key for key in self.items
                    if key.startswith(asked["path-prefix"]) and
                    key > asked.get("after", ""))
      return 200, {"items": [self.item(key) for key in keys[:500]],
                   "truncated": len(keys) > 500, "as-of": self.rev}
    if path == "/kv-txn":
      return self.transact(sent)
    if path == "/kv-lease":
      self.last_lease += 1
      ttl = min(max(int(sent["ttl-ms"]), 1000), 600000)
      self.leases[self.last_lease] = (time.monotonic() + ttl / 1000, ttl)
      return 200, {"lease": self.last_lease, "ttl-ms": ttl}
    lease = int(path.rsplit("/", 1)[1]) if path.count("/") == 2 else 0
    if lease not in self.leases:
      return 404, {}
    if path.startswith("/kv-keep/"):
      ttl = self.leases[lease][1]
      self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
      return 200, {"lease": lease, "ttl-ms": ttl}
    if path.startswith("/kv-lease-end/"):
      self.end_lease(lease)
      return 200, {}
    return 404, {}

  def transact(self, sent):
    wanted = sent.get("precondition", [])
    if any(self.items.get(row["key"], (0, 0))[1] != row["rev"]
           for row in wanted):
      return 412, {"items": [
          self.item(row["key"]) if row["key"] in self.items else
          {"key": row["key"], "value": "", "rev": 0, "created": 0, "lease": 0}
          for row in wanted], "as-of": self.rev}
    for put in sent.get("puts", []):
      if put.get("lease", 0) and put["lease"] not in self.leases:
        return 404, {}
    for put in sent.get("puts", []):
      self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
    for key in sent.get("remove", []):
      self.remove(key)
    return 200, {"rev": self.rev}


class CloudApi(Server):
  """The platform's API: accepts every call and notes it."""

  def __init__(self, port, record):
    super().__init__(port)
    self.record = record
    self.calls = []

  async def answer(self, message, reader, writer):
    line, headers, body = message
    self.calls.append((self.record.now(), line, headers, json.loads(body)))
    self.record.note(f"platform: {line} holder {headers.get('duty-holder')} "
                     f"fence {headers.get('fence-token')} {body.decode()}")
    return answer_bytes(200, b"{}", [("Content-Type", "application/json")])


class Runner(Server):
  """A runner of a plain service.

  `work(headers, body)` returns for how many seconds a request runs, or an event
  that ends it. Each run is noted with its Attempt-Id.
  """

  def __init__(self, record, port, service, slots=6, zone="z1", name=None,
               work=lambda headers, body: 0.05):
    super().__init__(port)
    self.record = record
    self.service = service
    self.id = name or f"i-{port}"
    self.zone = zone
    self.slots = slots
    self.work = work
    self.running = 0
    self.runs = []  # (Attempt-Id, request line, headers, body)
    self.born = int(time.time() * 1000)

  def entry(self, state="serving"):
    return {"service": self.service, "address": f"127.0.0.1:{self.port}",
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": state, "cold-left-ms": 0, "sequence": 0,
            "born": self.born}

  async def answer(self, message, reader, writer):
    line, headers, body = message
    target = line.split(" ")[1]
    if target == "/health":
      return answer_bytes(200, b"", [("Runner-Id", self.id)])
    if target == "/report":
      report = {"busy": False, "sequence": 0, "queued": 0,
                "active": self.running, "born": self.born}
      return answer_bytes(200, json.dumps(report).encode(),
                          [("Content-Type", "application/json")])
    attempt = headers.get("attempt-id")
    if not attempt:
      return answer_bytes(400, b"", [("Not-Executed", "1")])
    if headers.get("expect-instance", self.id) != self.id:
      return answer_bytes(421, b"", [("Attempt-Id", attempt),
                                     ("Not-Executed", "1")])
    return await self.run(line, headers, body, attempt, reader, writer)

  async def run(self, line, headers, body, attempt, reader, writer):
    self.running += 1
    self.runs.append((attempt, line, headers, body))
    self.record.note(f"runner {self.id} runs {attempt}: {line}, "
                     f"{len(body)} bytes, deadline "
                     f"{headers.get('request-deadline')}")
    try:
      work = self.work(headers, body)
      await (work.wait() if isinstance(work, asyncio.Event) else
             asyncio.sleep(work))
    finally:
      self.running -= 1
    self.record.note(f"runner {self.id} has run {attempt}")
    return answer_bytes(200, f"done {attempt}".encode(), [
        ("Attempt-Id", attempt),
        ("Response-Seal", f"seal-{self.id}-{attempt}"),
        ("Runner-Load", f"{self.running},0,{self.slots}")])


SETTINGS = """[relay]
id = {name}
zone = {zone}
adapter = platform
first_start = {first}
terms = base,drain,config,cost,retry,recover,split,stream,engine,tenants,leader,platform
processor_share = 0.25

[machine]
memory_mb = 260
descriptors = 4100

[listen]
callers = 127.0.0.1:{front}
ready = 127.0.0.1:{ready}
metrics = 127.0.0.1:{metrics}
peers = 127.0.0.1:{peers}

[store]
address = 127.0.0.1:{store}

[duties]
address = 127.0.0.1:{cloud}
lease = 3000ms
usage_window = 5s
usage_late = 10s

[stop]
grace = 8s

[keys]
revoke_within = 5000ms
proof_needed = true

[fleet]
apply_within = 2000ms
drain_within = 2000ms

[retries]
window = 10s
share = 0.2
slack = 56
"""


class Host:
  """One process of the system, with the settings of the deploy file's
  template."""

  def __init__(self, deployment, name, zone="z1", store=None):
    self.deployment = deployment
    self.store = store or deployment.store.port
    self.name = name
    self.zone = zone
    self.front, self.ready, self.metrics, self.peers = free_ports(4)
    self.process = None
    self.log = deployment.folder / f"{name}.log"

  async def start(self, first=True):
    path = self.deployment.folder / f"{self.name}.ini"
    path.write_text(SETTINGS.format(
        name=self.name, zone=self.zone, first=str(first).lower(),
        front=self.front, ready=self.ready, metrics=self.metrics,
        peers=self.peers, store=self.store,
        cloud=self.deployment.cloud.port))
    environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                   if key in os.environ}
    environment["HICKORYSTAND_SETTINGS"] = str(path)
    with open(self.log, "ab") as log:
      self.process = await asyncio.create_subprocess_exec(
          str(PROGRAM), cwd=ROOT, env=environment, stdout=log, stderr=log)

  def send(self, number):
    self.deployment.record.note(
        f"operator: {signal.Signals(number).name} to {self.name}")
    self.process.send_signal(number)

  async def end(self):
    if self.process and self.process.returncode is None:
      try:
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
      except ProcessLookupError:
        pass
      await self.process.wait()

  async def is_ready(self):
    try:
      status, _, _ = await asyncio.wait_for(
          exchange(self.ready, b"GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n"),
          1)
      return status == 200
    except (OSError, asyncio.TimeoutError, ValueError):
      return False


class Deployment:
  """Store, API, runners and hosts; a configuration with one tenant."""

  def __init__(self):
    self.record = Record()
    self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    store, cloud = free_ports(2)
    self.store = Store(store)
    self.cloud = CloudApi(cloud, self.record)
    self.runners = []
    self.hosts = []
    self.tasks = []

  def add_runner(self, **options):
    port = options.pop("port", None) or free_ports(1)[0]
    runner = options.pop("kind", Runner)(self.record, port, **options)
    self.runners.append(runner)
    return runner

  def configure(self, version, routes, limits=None, services=None,
                connections=110):
    names = services or sorted({route["service"] for route in routes})
    self.store.put_json("op/config", {
        "version": version, "routes": routes,
        "services": [{"name": name, "health-path": "/health",
                      "max-connections": connections} for name in names],
        "limits": limits or {
            "max-header-bytes": 16384, "max-body-bytes": 4194304,
            "header-timeout-ms": 5000, "idle-timeout-ms": 20000},
        "tenants": [{"name": TENANT, "api-keys": [KEY]}]})
    self.record.note(f"operator: configuration {version} confirmed")

  async def start(self, hosts):
    await self.store.start()
    await self.cloud.start()
    for runner in self.runners:
      await runner.start()
    self.tasks.append(asyncio.create_task(self.beat()))
    self.hosts = hosts
    for host in hosts:
      await host.start()
    await self.until_ready(hosts)

  async def beat(self):
    """The heartbeats of the runners."""
    while True:
      for runner in self.runners:
        if runner.server:
          self.store.put_json(f"servers/{runner.id}", runner.entry())
      await asyncio.sleep(1.2)

  async def until_ready(self, hosts, limit=20):
    end = time.monotonic() + limit
    waiting = list(hosts)
    while waiting:
      waiting = [host for host in waiting if not await host.is_ready()]
      if time.monotonic() > end:
        raise RuntimeError("not ready: " + waiting[0].name)
      await asyncio.sleep(0.1)

  async def stop(self):
    for task in self.tasks:
      task.cancel()
    for host in self.hosts:
      await host.end()
    for server in [self.store, self.cloud, *self.runners]:
      await server.stop()
    shutil.rmtree(self.folder, ignore_errors=True)


def route(name, path, service, kind="non_idempotent", timeout_ms=4000,
          attempts=1, **more):
  return {"name": name, "host": HOST_NAME, "path-prefix": path,
          "service": service, "kind": kind, "timeout-ms": timeout_ms,
          "target-latency-ms": 300, "priority": 1, "max-attempts": attempts,
          **more}


def request_bytes(attempt, path, method="POST", body=b"", deadline_ms=4000,
                  headers=()):
  text = (f"{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
          f"Attempt-Id: {attempt}\r\nRequest-Deadline: {deadline_ms}\r\n"
          f"Authorization: Bearer {KEY}\r\n")
  for name, value in headers:
    text += f"{name}: {value}\r\n"
  if method != "GET":
    text += f"Content-Length: {len(body)}\r\n"
  return (text + "\r\n").encode() + body


async def read_answer(reader):
  """Status, headers, body; ValueError if there is no whole answer."""
  message = await read_message(reader)
  if message is None:
    raise ValueError("the channel ended without a whole answer")
  line, headers, body = message
  return int(line.split(" ")[1]), headers, body


async def exchange(port, sent):
  reader, writer = await asyncio.open_connection("127.0.0.1", port)
  try:
    writer.write(sent)
    await writer.drain()
    return await read_answer(reader)
  finally:
    writer.close()


async def call(deployment, host, attempt, path, limit=10, **options):
  """One client attempt. Returns the status, or a text for no answer."""
  record = deployment.record
  record.note(f"client sends {attempt} to {host.name}: "
              f"{options.get('method', 'POST')} {path}, "
              f"{len(options.get('body', b''))} bytes")
  try:
    status, headers, body = await asyncio.wait_for(
        exchange(host.front, request_bytes(attempt, path, **options)), limit)
  except (OSError, ValueError, asyncio.TimeoutError) as error:
    record.note(f"client of {attempt}: {type(error).__name__} {error}")
    return type(error).__name__
  record.note(f"client of {attempt} gets {status}, seal "
              f"{headers.get('response-seal')}, {body[:60]!r}")
  return status


async def until(condition, limit):
  """Waits for `limit` seconds at most until the condition holds."""
  end = time.monotonic() + limit
  while not condition():
    if time.monotonic() > end:
      raise RuntimeError("the case didn't get as far as it needs")
    await asyncio.sleep(0.02)


async def metric(host, name):
  """One of a host's own metrics, to find out which role it has."""
  _, _, body = await exchange(host.metrics,
                              b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")
  for line in body.decode().splitlines():
    if line.startswith(name + " "):
      return float(line.split(" ")[1])
  return None


async def start_zone(deployment, hosts=4):
  """Hosts of one zone. Three of them schedule, the others forward to these;
  returns both lists."""
  for number in range(hosts):
    deployment.hosts.append(Host(deployment, f"front-{number + 1}"))
  await deployment.start(deployment.hosts)
  end = time.monotonic() + 10
  while True:
    await asyncio.sleep(0.5)
    roles = [await metric(host, "host_scheduler") for host in deployment.hosts]
    if roles.count(1) == 3 or time.monotonic() > end:
      break
  await asyncio.sleep(2)  # until all are linked
  schedulers = [host for host, role in zip(deployment.hosts, roles) if role]
  forwarding = [host for host, role in zip(deployment.hosts, roles) if not role]
  deployment.record.note("schedulers " +
                         " ".join(host.name for host in schedulers) +
                         "; forwarding " +
                         " ".join(host.name for host in forwarding))
  if len(schedulers) != 3 or not forwarding:
    raise RuntimeError("roles differ from what the case needs")
  return schedulers, forwarding


async def upload(deployment, hosts, count, pause, **options):
  """Sends `count` documents to each host, one each `pause` seconds. That is
  215 Mbit/s for 4 MB each 0.15 s, of the 1000 Mbit/s of a machine's link."""
  tasks = []
  for number in range(count):
    for host in hosts:
      tasks.append(asyncio.create_task(
          call(deployment, host, f"upload-{host.name}-{number}", **options)))
    await asyncio.sleep(pause)
  return tasks


def run_case(case, path, limit=110):
  """Runs `case(deployment, trouble)`, which returns what broke, and exits."""
  trouble = os.environ.get("TROUBLE", "1") != "0"

  async def guarded():
    deployment = Deployment()
    try:
      return await asyncio.wait_for(case(deployment, trouble), limit), deployment
    finally:
      await deployment.stop()

  if not PROGRAM.exists():
    print("target/hickorystandd is missing: run the build of the deploy file")
    raise SystemExit(2)
  try:
    broken, deployment = asyncio.run(guarded())
  except (RuntimeError, OSError, ValueError, asyncio.TimeoutError) as error:
    print(f"the case couldn't run: {type(error).__name__} {error}")
    raise SystemExit(2)
  for line in broken:
    deployment.record.note("BROKEN: " + line)
  deployment.record.note(f"{'with' if trouble else 'without'} the disruption: "
                         f"{len(broken)} times broken")
  deployment.record.write(pathlib.Path(path) / "record.txt")
  print("\n".join(broken) or "the rule held")
  raise SystemExit(1 if broken else 0)
