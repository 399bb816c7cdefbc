"""A request inside the body of another one runs.

A client sends a request whose body contains the text of a second request, with
a Transfer-Encoding whose last coding is not "chunked". The host takes the body
for empty, runs the request without it, and reads the body as the next request.
Without the disruption the same body is sent with its length.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "rig-2"))
import rig

CODINGS = ("identity", "gzip", "chunked, identity", "chunked, gzip")


async def send(deployment, host, attempt, body, framing):
  head = (f"POST /save/document HTTP/1.1\r\nHost: {rig.HOST_NAME}\r\n"
          f"Attempt-Id: {attempt}\r\nRequest-Deadline: 4000\r\n"
          f"Authorization: Bearer {rig.KEY}\r\n{framing}\r\n\r\n")
  deployment.record.note(f"client sends {attempt} with {framing}, and a body "
                         f"of {len(body)} bytes")
  reader, writer = await asyncio.open_connection("127.0.0.1", host.front)
  writer.write(head.encode() + body)
  try:
    while data := await asyncio.wait_for(reader.read(65536), 1):
      deployment.record.note(f"client of {attempt} gets {data[:70]!r}")
  except (asyncio.TimeoutError, ConnectionError):
    pass
  writer.close()


async def case(deployment, trouble):
  runners = [deployment.add_runner(service="desk"),
             deployment.add_runner(service="desk", zone="z2")]
  deployment.configure(1, [rig.route("save", "/save/", "desk")])
  hosts = [rig.Host(deployment, "front-1"), rig.Host(deployment, "front-2")]
  await deployment.start(hosts)
  sent = {}
  for number, coding in enumerate(CODINGS):
    inner = rig.request_bytes(f"inner-{number}", "/save/inner", body=b"inner")
    framing = (f"Transfer-Encoding: {coding}" if trouble else
               f"Content-Length: {len(inner)}")
    sent[f"outer-{number}"] = inner
    await send(deployment, hosts[0], f"outer-{number}", inner, framing)
  broken = []
  for runner in runners:
    for attempt, _, _, body in runner.runs:
      if attempt not in sent:
        broken.append(f"UNASKED: {attempt}, which no client sent, has run")
      elif body != sent[attempt]:
        broken.append(f"UNASKED: {attempt} has run with {len(body)} bytes of "
                      f"its {len(sent[attempt])}")
  return broken


rig.run_case(case, pathlib.Path(__file__).parent)
