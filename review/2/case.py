"""An entry of another writer, whose bytes can't be read, ends every process."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig"))
from rig import *  # noqa: E402,F403

HOSTS, RUNNERS = 4, 3
CALM_S, WATCHED_S = 3, 12
ENDS = 3  # of one machine: "three times in the day"
MACHINES = 2  # "on a tenth of the machines in use (two at least)"

# Not JSON: a comment with a quote in it, then brackets that nobody closes. It is
# smaller than `value-bytes` (1,048,576).
ENTRY = b'/*"*/' + b"[" * 900_000


async def main(record, work, trouble, hosts):
    store, cloud = Store(record), Cloud(record)
    await store.start()
    await cloud.start()
    store.put("op/config", configuration(
        7, [route("fetch", "idempotent", "desk", "/fetch/")],
        [{"name": "desk", "health-path": "/health", "max-connections": 110}],
        [{"name": "t1", "api-keys": ["k1"]}]))
    for i in range(RUNNERS):
        await Runner(record, store, f"i-{i}").start()
    for i in range(HOSTS):
        hosts.append(Host(record, f"front-{i}", store.address, cloud.address, work))
        await hosts[-1].start()

    async def all_ready():
        return all([await host.is_ready() for host in hosts])

    await until(all_ready, 25, "not all hosts became ready")
    record.add("all hosts are ready")
    served, failed = [], []

    async def client(number):
        sent = 0
        while True:
            host, sent = hosts[(number + sent) % HOSTS], sent + 1
            attempt = f"c{number}-{sent}"
            record.add(f"client sends {attempt} to {host.name}")
            try:
                status, _, _ = await asyncio.wait_for(ask("127.0.0.1", host.callers, (
                    f"GET /fetch/{sent} HTTP/1.1\r\nHost: desk.example\r\n"
                    f"Attempt-Id: {attempt}\r\nAuthorization: Bearer k1\r\n"
                    f"Request-Deadline: 4000\r\n\r\n").encode()), 4)
                record.add(f"client gets {status} for {attempt}")
                (served if status == 200 else failed).append(record.now())
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                record.add(f"client gets no answer for {attempt}: {type(error).__name__}")
                failed.append(record.now())
            await asyncio.sleep(0.4)

    clients = [asyncio.create_task(client(i)) for i in range(4)]
    await asyncio.sleep(CALM_S)
    written = record.now()
    if trouble:
        store.put("servers/i-other-writer", ENTRY)
        record.add(f"another writer puts servers/i-other-writer, {len(ENTRY)} bytes")
    await asyncio.sleep(WATCHED_S)
    for task in clients:
        task.cancel()
    often = [host.name for host in hosts if len(host.ends) >= ENDS]
    for host in hosts:
        record.add(f"{host.name}: {len(host.ends)} processes ended by themselves: "
                   f"{sorted({code for _, code in host.ends})}")
    record.add(f"answered before: {sum(at < written for at in served)} of "
               f"{sum(at < written for at in served + failed)}; after: "
               f"{sum(at >= written for at in served)} of "
               f"{sum(at >= written for at in served + failed)}")
    return BROKEN if len(often) >= MACHINES else HELD


run(os.path.dirname(os.path.abspath(__file__)), main)
