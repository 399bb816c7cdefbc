"""A stream that a killed host cuts off looks complete to its client.

Runners send streams of 30 events; half of the runners send one answer in twenty
without length and without chunks, so that it ends with its channel. The host
passes such a stream on in the same form. It is killed while streams run: the
operating system closes its channels in order, and for streams of that form
this is the mark of a complete answer.
"""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "rig-2"))
import rig

EVENTS = 30
PAUSE_S = 0.1
STREAMS = 160
UNFRAMED_EACH = 20  # of the streams of a runner


class Writer(rig.Runner):
  """Sends events with increasing ids, in chunks or until its channel ends."""

  unframed = False
  begun = 0

  async def run(self, line, headers, body, attempt, reader, writer):
    self.begun += 1
    until_close = self.unframed and self.begun % UNFRAMED_EACH == 0
    self.runs.append((attempt, line, headers, body))
    after = int(headers.get("last-event-id", 0))
    self.record.note(f"runner {self.id} runs {attempt} from event {after + 1}"
                     f"{', without length' if until_close else ''}")
    framing = ("Connection: close" if until_close else
               "Transfer-Encoding: chunked")
    writer.write((f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n"
                  f"Response-Seal: seal-{attempt}\r\n"
                  f"Content-Type: text/event-stream\r\n{framing}\r\n\r\n"
                 ).encode())
    for number in range(after + 1, EVENTS + 1):
      event = f"id: {number}\ndata: piece {number}\n\n".encode()
      writer.write(event if until_close else
                   b"%x\r\n" % len(event) + event + b"\r\n")
      await writer.drain()
      await asyncio.sleep(PAUSE_S)
    if until_close:
      return None
    return b"0\r\n\r\n"


async def read_stream(deployment, host, attempt):
  """Returns whether the stream ended as complete, and its last event."""
  sent = rig.request_bytes(attempt, "/write/page", body=b"prompt",
                           deadline_ms=6000)
  answer = b""
  reset = False
  try:
    reader, writer = await asyncio.open_connection("127.0.0.1", host.front)
    writer.write(sent)
    while data := await asyncio.wait_for(reader.read(65536), 8):
      answer += data
      if b"chunked\r\n" in answer and answer.endswith(b"\r\n0\r\n\r\n"):
        break
    writer.close()
  except (OSError, asyncio.TimeoutError):
    reset = True
  head, _, body = answer.partition(b"\r\n\r\n")
  chunked = b"chunked" in head.lower()
  success = head.startswith(b"HTTP/1.1 200")
  complete = success and not reset and (
      body.endswith(b"0\r\n\r\n") if chunked else True)
  last = body.count(b"\nid: ") + body.startswith(b"id: ")
  deployment.record.note(
      f"client of {attempt}: {'chunks' if chunked else 'until close'}, ends "
      f"{'by reset' if reset else 'in order'} after event {last}, "
      f"{'complete' if complete else 'not complete'}")
  return attempt, complete, last


async def case(deployment, trouble):
  for number in range(4):
    deployment.add_runner(kind=Writer, service="writer",
                          slots=64).unframed = number < 2
  deployment.configure(1, [rig.route(
      "write", "/write/", "writer", kind="streaming", timeout_ms=6000,
      attempts=2, resumable=True, **{"gap-target-ms": 300})], connections=370)
  hosts = [rig.Host(deployment, f"front-{number + 1}") for number in range(3)]
  await deployment.start(hosts)
  await asyncio.sleep(2)
  streams = []
  for number in range(STREAMS):
    streams.append(asyncio.create_task(
        read_stream(deployment, hosts[0], f"stream-{number}")))
    await asyncio.sleep(0.005)
  await asyncio.sleep(1.2)
  if trouble:
    hosts[0].send(signal.SIGKILL)
  ends = await asyncio.gather(*streams)
  return [f"ORDER: {attempt} ended as complete after event {last} of {EVENTS}"
          for attempt, complete, last in ends if complete and last < EVENTS]


rig.run_case(case, pathlib.Path(__file__).parent)
