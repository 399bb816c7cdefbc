"""Filings that have run are answered 503 when their scheduler dies and the
other schedulers have no room.

Three hosts of a zone schedule, a fourth one forwards its clients' requests to
them. Two schedulers hold as many large documents as they take; so filings that
come to the fourth host go to the first scheduler, which passes them on to a
runner. While they run, the first scheduler is killed.
"""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "rig-2"))
import rig

DOCUMENT = b"d" * 4194304  # the limit of the configuration
FILING = b"f" * 1000000
PROMISES = (408, 421, 429, 503)


async def file_document(deployment, host, name):
  """A client that repeats only what was promised not to have run."""
  status = await rig.call(deployment, host, f"{name}-first", "/save/filing",
                          body=FILING, deadline_ms=6000)
  if status in PROMISES:
    await asyncio.sleep(1.7)  # a third of the time left
    await rig.call(deployment, host, f"{name}-again", "/save/filing",
                   body=FILING, deadline_ms=3000)
  return f"{name}-first", status


def runs_of(deployment, name):
  return [attempt for runner in deployment.runners
          for attempt, *_ in runner.runs if attempt.startswith(name)]


async def case(deployment, trouble):
  documents_end = asyncio.Event()
  for _ in range(3):
    deployment.add_runner(
        service="archive", slots=64,
        work=lambda headers, body: documents_end if len(body) == len(DOCUMENT)
        else 1.5)
  deployment.configure(
      1, [rig.route("save", "/save/", "archive", timeout_ms=20000)],
      connections=370)
  schedulers, forwarding = await rig.start_zone(deployment)
  uploads = await rig.upload(deployment, schedulers[1:], 22, 0.15,
                             path="/save/document", body=DOCUMENT,
                             deadline_ms=20000, limit=21)
  filings = [asyncio.create_task(
      file_document(deployment, forwarding[0], f"filing-{number}"))
             for number in range(2)]
  await rig.until(lambda: len(runs_of(deployment, "filing")) == 2, 5)
  await asyncio.sleep(0.2)
  if trouble:
    schedulers[0].send(signal.SIGKILL)
  await asyncio.sleep(1)
  documents_end.set()
  answers = await asyncio.gather(*filings)
  await asyncio.gather(*uploads)
  ran = runs_of(deployment, "filing")
  deployment.record.note("runs of filings: " + " ".join(ran))
  return [f"REFUSED: {attempt} was answered {status} and has run"
          for attempt, status in answers
          if status in PROMISES and attempt in ran]


rig.run_case(case, pathlib.Path(__file__).parent)
