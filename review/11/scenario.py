"""A batch job of which a part was given up; the node that ran it is stopped as planned. Can the job still be read?"""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'harness-3'))
from world import *  # noqa: E402,F403

JOB, GROUPS, SIZE = 'job0000000000001', 250, 8
ITEMS = ['item%012d' % n for n in range(GROUPS * SIZE)]
EVENTS, EVENT_BYTES = 18, 350  # As the sheet's `advice-short`.
SLOWEST, FASTEST = 0.12, 0.1  # Seconds an event; the sheet's longest pause is 120 ms.
SLOTS = 5  # Of the one server of the model; it finishes about 110 items in queue_ttl_s.
QUEUE_TTL_S = 40
READ_S = 25  # The job is read for this long after the stop.
PAGE_BYTES = 1000000  # One answer of the store lists 500 objects or 1 MB at most.


def text(item):
    return '\n'.join(('%s-%d-' % (item, n)).ljust(EVENT_BYTES, 'x') for n in range(1, EVENTS + 1))


async def scenario(world):
    async def run(replica, request, writer):
        item = request.headers.get('x-attempt-id')
        lines = text(item).split('\n')
        gap = FASTEST + (SLOWEST - FASTEST) * (int(item[4:]) * 37 % 101) / 100
        return await stream_events(replica, request, writer, EVENTS, gap, lambda n: lines[n - 1])

    world.add_replica('i-aa', 'advice', run, slots=SLOTS, models={MODEL: 1})
    service = model_service('advice')
    service['engine']['slots'] = SLOTS
    world.add_nodes(3)
    await world.start(world.config(1, [rollout_route('advice', queue_ttl_s=float(QUEUE_TTL_S))], [service]))
    body = json.loads(job_body(ITEMS))
    for number, item in enumerate(body['items']):
        item['group'] = 'g%d' % (number // SIZE)
        item['headers'].update({'X-Token-Usage': '270,%d' % (EVENTS * EVENT_BYTES), 'X-Length-Hint': str(EVENTS * EVENT_BYTES)})
        item['tokens'] = 270 + EVENTS * EVENT_BYTES
    body['desired'] = GROUPS
    body = json.dumps(body).encode()
    status = await submit(world.nodes[0].at(5), JOB, body)
    accepted = time.monotonic()
    world.record.add('job %s, %d items, %d bytes: %d' % (JOB, len(ITEMS), len(body), status))
    if status != 202:
        raise CannotRun('the job was not accepted')

    results = []  # As the trainer has read them.
    broken = []

    async def read(node, after):
        """Reads from a position on; checks that what was read before comes again."""
        try:
            status, page = await read_job(node.at(5), JOB, after)
        except (OSError, ConnectionError, asyncio.TimeoutError):
            return 0
        if status == 200:
            for number, result in enumerate(page['results'], after):
                if number < len(results) and results[number] != result:
                    broken.append('position %d changed' % number)
                if number == len(results):
                    results.append(result)
                if result['state'] == 'completed' and result['text'] != text(result['id']):
                    broken.append('the text of %s is not whole' % result['id'])
        return status

    turn = 0
    while len(results) < len(ITEMS) and time.monotonic() - accepted < QUEUE_TTL_S + 15:
        turn += 1
        await read(world.nodes[turn % len(world.nodes)], len(results))
        await asyncio.sleep(0.5 if time.monotonic() - accepted < QUEUE_TTL_S else 0.05)
    states = [result['state'] for result in results]
    world.record.add('%.1f s after the 202 the trainer has read %d results: %d completed, %d abandoned'
                     % (time.monotonic() - accepted, len(results), states.count('completed'), states.count('abandoned')))
    listing = [json.dumps(item) for kind, items in world.store.objects.items() for item in items.values()
               if kind == 'results-' + JOB]
    world.record.add('the store keeps the results in %d objects, %d bytes in all, the largest %d'
                     % (len(listing), sum(map(len, listing)), max(map(len, listing), default=0)))
    if len(results) < len(ITEMS):
        raise CannotRun('the results were not all listed before the stop')
    if len(listing) > 500 or sum(map(len, listing)) > PAGE_BYTES:
        raise CannotRun('the store would need more than one answer for the results')
    records = [item['spec'] for kind, items in world.store.objects.items() for item in items.values()
               if kind != 'nodes' and item['metadata']['name'] == JOB]
    owner = next((node for node in world.nodes if any(node.name in json.dumps(record) for record in records)), None)
    if owner is None:
        raise CannotRun('no owner of the job is known')
    world.record.add('the job runs at %s' % owner.name)

    # The trainer has what it wanted and ends the job. Its results stay readable until status_s after the submission.
    headers = [('Host', HOST), ('Authorization', 'Bearer ' + KEY)]
    status = (await call(world.nodes[0].at(5), 'DELETE', '/api/lots/' + JOB, headers))[0]
    world.record.add('the trainer ends the job: %d' % status)
    if status != 200:
        raise CannotRun('the job was not ended')
    if TROUBLE:
        owner.signal(signal.SIGTERM)
        await owner.process.wait()
        world.record.add('node %s has ended' % owner.name)
        await asyncio.sleep(0.3)
        await owner.start()
    await world.until(world.all_ready, 15, 'the nodes are not ready')
    ready = time.monotonic()
    world.record.add('all nodes are ready')
    answers, calls = {}, world.store.calls
    whole = False
    while time.monotonic() - ready < READ_S:  # Other clients of the tenant read it.
        turn += 1
        before = answers.copy()
        after = 0
        while True:  # The job is read from the start, to its end.
            status = await read(world.nodes[turn % len(world.nodes)], after)
            answers[status] = answers.get(status, 0) + 1
            if status != 200:
                break
            after = after + 100
            if after >= len(results):
                break
        whole = status == 200
        if before.keys() != answers.keys():
            world.record.add('read from the start at %s: answer %s' % (world.nodes[turn % len(world.nodes)].name, status))
        await asyncio.sleep(0.5)
    world.record.add('reads in %d s: %s; calls of the store: %d' % (READ_S, answers, world.store.calls - calls))
    if not whole:
        broken.append('the batch job can\'t be read %d s after all nodes were ready' % READ_S)
    world.record.add('broken: %s' % broken[:3] if broken else 'held')
    return BROKEN if broken else HELD


sys.exit(main(os.path.dirname(os.path.abspath(__file__)), scenario))
