"""A manifest adds a route whose requests may not be repeated, below an older one whose requests may, and is
confirmed. An edge machine stood still meanwhile; when it wakes, it takes a request of the new route for one
of the older route and sends it again after its first answer was lost."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-2"))
from world import World, manifest, monotonic, route, run, service  # noqa: E402

ZONES = {"brest-a": "bzh", "nantes-b": "pdl", "paris-c": "idf"}
HOST = "review.example"
FREEZE_S = 5.0
REQUESTS = 10
DEADLINE_MS = 4000


def table(version, is_added):
    routes = [route("jobs", "/jobs/", "idempotent", "portal", home_regions=["bzh"])]
    if is_added:
        routes.append(route("push", "/jobs/push/", "non_idempotent", "portal", home_regions=["bzh"],
                            max_attempts=1))
    return manifest(version, routes, [service("portal")])


async def case(folder, trouble):
    world = World(folder, ZONES)
    lost = set()
    try:
        for zone in ZONES:
            world.machine("core-" + zone, "core", zone)
        taking = world.machine("edge-brest-a-1", "edge", "brest-a")
        world.machine("edge-brest-a-2", "edge", "brest-a")
        world.machine("edge-nantes-b-1", "edge", "nantes-b")
        world.machine("edge-paris-c-1", "edge", "paris-c")
        for machine in world.machines:
            machine.start()

        async def lose_answer(run, reader, writer):
            """Runs a request and resets its channel, for four in ten of them."""
            worker = run.worker
            number = sum(one.worker is worker and one.path.startswith("/jobs/push/")
                         for one in world.runs)
            if trouble and run.path.startswith("/jobs/push/") and number % 5 in (1, 3):
                await asyncio.sleep(worker.work_s)
                world.record.line("answer lost", run.id, worker.name)
                lost.add(run.id)
                writer.transport.abort()
                return False
            return await worker.serve_soundly(run, reader, writer)

        for number in (1, 2):
            worker = world.worker("i-portal-%d" % number, "portal", "brest-a", slots=64)
            if number == 1:  # Half of the copies lose answers, four in ten of them.
                worker.serve = lose_answer
            await worker.start()
        await world.publish(table(1, False))
        await world.until_ready()
        await asyncio.sleep(7)
        for number in range(100):
            id = "before%03d" % number
            await world.request(taking, "POST", "/jobs/" + id, HOST, id, DEADLINE_MS, b"job")

        frozen_at = monotonic()
        if trouble:
            taking.stop()
        confirmed = await world.publish(table(2, True))
        settled = confirmed + world.bounds["config_apply_ms"] / 1000
        await asyncio.sleep(max(0.0, settled + 0.2 - monotonic()))
        sent = {}

        async def request(id):
            sent[id] = monotonic()
            return (await world.request(taking, "POST", "/jobs/push/" + id, HOST, id, DEADLINE_MS,
                                        b"schedule"))[1]

        pending = []
        for number in range(REQUESTS):
            pending.append(asyncio.create_task(request("push%02d" % number)))
            await asyncio.sleep(0.1)
        await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - monotonic()))
        if trouble:
            taking.resume()
        answers = await asyncio.gather(*pending)
        await asyncio.sleep(1)
        return judge(world, sent, confirmed, answers, lost)
    finally:
        await world.close()


def judge(world, sent, confirmed, answers, lost):
    """TWICE: a request that isn't idempotent runs more than once."""
    runs = {}
    for one in world.runs:
        if one.id in sent:
            runs.setdefault(one.id, []).append(one.worker.name)
    twice = {id: workers for id, workers in runs.items() if len(workers) > 1}
    for id, workers in twice.items():
        world.record.line("BROKEN: %s was sent %.3f s after the confirmation and ran at %s"
                          % (id, sent[id] - confirmed, ", ".join(workers)))
    line = ("%d requests that may not be repeated, sent later than 3 s after the confirmation: %d ran, "
            "%d answers lost, %d ran twice" % (len(sent), len(runs), len(lost), len(twice)))
    world.record.line(line)
    print(line)
    if not any(one.id.startswith("before") for one in world.runs) or not runs:
        raise RuntimeError("nothing was served")
    return not twice


run(case)
