"""A manifest adds a route whose requests may not be repeated, below an older one whose requests may, and is
confirmed. An edge machine stood still meanwhile; when it wakes, it takes a request of the new route for one
of the older route and sends it again after its first answer was lost."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-2"))
from world import EDGES, World, manifest, monotonic, route, run, service  # noqa: E402

ZONES = {"brest-a": "bzh", "nantes-b": "pdl", "paris-c": "idf"}
HOST = "review.example"
FREEZE_S = 3.8
REQUESTS = 16
ROUNDS = 3
# Three of five copies lose answers: a share of 0.6.
COPIES, LOSING = 5, 3
DEADLINE_MS = 4000


def table(version, added):
    """Version 1 has the older route alone; each later one adds a route below it."""
    routes = [route("jobs", "/jobs/", "idempotent", "portal", home_regions=["bzh"])]
    for number in range(added):
        routes.append(route("push%d" % number, "/jobs/push%d/" % number, "non_idempotent", "portal",
                            home_regions=["bzh"], max_attempts=1))
    return manifest(version, routes, [service("portal")])


async def case(folder, trouble):
    world = World(folder, ZONES)
    lost = set()
    sent = {}
    late = 0
    try:
        edges_of = world.layout(EDGES)
        for machine in world.machines:
            machine.start()

        async def lose_answer(run, reader, writer):
            """Runs a request and resets its channel, for two in five of them, never more."""
            nonlocal late
            if trouble and run.path.startswith("/jobs/push"):
                late += 1
                if late % 5 in (3, 0):
                    await asyncio.sleep(run.worker.work_s)
                    world.record.line("answer lost", run.id, run.worker.name)
                    lost.add(run.id)
                    writer.transport.abort()
                    return False
            return await run.worker.serve_soundly(run, reader, writer)

        for number in range(COPIES):
            worker = world.worker("i-portal-%d" % number, "portal", "brest-a", slots=64)
            if number < LOSING:
                worker.serve = lose_answer
            await worker.start()
        await world.publish(table(1, 0))
        await world.until_ready()
        await asyncio.sleep(7)

        async def request(machine, id, path):
            sent[id] = (monotonic(), settled)
            return (await world.request(machine, "POST", path, HOST, id, DEADLINE_MS, b"job"))[1]

        # One machine stands still at a time, another one each time.
        for number, taking in enumerate(edges_of["brest-a"][:ROUNDS]):
            for before in range(100):
                id = "before%d-%03d" % (number, before)
                await world.request(taking, "POST", "/jobs/" + id, HOST, id, DEADLINE_MS, b"job")
            frozen_at = monotonic()
            if trouble:
                taking.stop()
            confirmed = await world.publish(table(2 + number, 1 + number))
            settled = confirmed + world.bounds["config_apply_ms"] / 1000
            await asyncio.sleep(max(0.0, settled + 0.05 - monotonic()))
            pending = []
            for at in range(REQUESTS):
                id = "push%d-%02d" % (number, at)
                path = "/jobs/push%d/%s" % (number, id)
                pending.append(asyncio.create_task(request(taking, id, path)))
                await asyncio.sleep(0.025)
            await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - monotonic()))
            if trouble:
                taking.resume()
            await asyncio.gather(*pending)
            await asyncio.sleep(6)
        return judge(world, sent, lost)
    finally:
        await world.close()


def judge(world, sent, lost):
    """TWICE: a request that isn't idempotent runs more than once."""
    runs = {}
    for one in world.runs:
        if one.id in sent:
            runs.setdefault(one.id, []).append(one.worker.name)
    twice = {id: workers for id, workers in runs.items() if len(workers) > 1}
    for id, workers in twice.items():
        at, settled = sent[id]
        world.record.line("BROKEN: %s was sent %.3f s after the end of config_apply_ms and ran at %s"
                          % (id, at - settled, ", ".join(workers)))
    line = ("%d requests that may not be repeated, sent later than 3 s after the confirmation: %d ran, "
            "%d answers lost, %d ran twice" % (len(sent), len(runs), len(lost), len(twice)))
    world.record.line(line)
    print(line)
    if not any(one.id.startswith("before") for one in world.runs) or not runs:
        raise RuntimeError("nothing was served")
    return not twice


run(case)
