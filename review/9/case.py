"""The platform's store is silent for 4.5 s while the last item of a batch job ends. Reads the batch job all the while,
about twice a second and at every node in turn, as its trainer does, until it has the result and some time longer.
"""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "harness-2"))

from fleet import (TROUBLE, CannotRun, Fleet, ModelReplica, call, client_headers, job_body, model_service,  # noqa: E402
                   rollout_route, run_case)

STATUS_S = 60  # Of the installation; half of the usual value, so that the case ends within its time.
EVENT_S, EVENTS = 0.5, 126  # The item takes 63 s.
SILENT_FROM_S, SILENT_FOR_S = 61.5, 4.5
SETTLE_S, CONTACT_S = 1.0, 4.0
IN_TOUCH_FROM_S = SILENT_FROM_S + SILENT_FOR_S + CONTACT_S  # The core is stable again.


async def submit(fleet, record):
    answer = await call(fleet.nodes[0].listen("front"), "POST", "/roll/j1", client_headers("j1", 5000),
                        job_body("m0", [("it1", "/roll/1", "g1")]))
    record(f"client: submission of j1: {answer}")
    if answer.status != 202:
        raise CannotRun("the batch job wasn't accepted")
    return time.monotonic()


async def play(fleet, record):
    for number in range(2):
        await fleet.add(ModelReplica(fleet.store, "models", f"i-m{number}", "a", record, "m0", EVENT_S, EVENTS))
    fleet.configure(3, [{**rollout_route(), "queue_ttl_s": 100.0, "result_due_ms": 80000}], [model_service()])
    await fleet.start_nodes()
    accepted_at = await submit(fleet, record)
    if TROUBLE:
        loop = asyncio.get_running_loop()
        loop.call_later(SILENT_FROM_S, fleet.silence_store, True)
        loop.call_later(SILENT_FROM_S + SILENT_FOR_S, fleet.silence_store, False)
    listed_at, lost, turn, last = None, 0, 0, ""
    while time.monotonic() - accepted_at < 85 and lost < 6:
        node = fleet.nodes[turn % len(fleet.nodes)]
        turn += 1
        answer = await call(node.listen("front"), "GET", "/api/lots/j1?after=0", client_headers(), limit=3)
        results = json.loads(answer.body)["results"] if answer.status == 200 else []
        shown = f"{answer}, {len(results)} results"
        if shown != last or answer.status != 200:
            record(f"client: reads j1 at {node.name}: {shown}")
        last = shown
        age = time.monotonic() - accepted_at
        if answer.status in (404, 410) and age > (IN_TOUCH_FROM_S if TROUBLE else SETTLE_S):
            lost += 1
        if results and listed_at is None:
            listed_at = time.monotonic()
        # The trainer trains for a second before it ends the batch job.
        if listed_at is not None and answer.status == 200 and time.monotonic() - listed_at > 1.0:
            break
        await asyncio.sleep(0.4)
    if listed_at is None and lost == 0:
        raise CannotRun("the item wasn't finished in time")
    answer = await call(fleet.nodes[0].listen("front"), "DELETE", "/api/lots/j1", client_headers())
    record(f"client: ends j1: {answer}")
    return lost > 0


async def case(record):
    fleet = Fleet(record, nodes=3, bounds={"status_s": STATUS_S})
    try:
        await fleet.start()
        return await play(fleet, record)
    finally:
        await fleet.close()


run_case(FOLDER, case)
