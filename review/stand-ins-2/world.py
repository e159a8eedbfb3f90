"""Stand-ins of the platform for the scripts of this review: machines, workers, an operator, clients.

Only the standard library is used. Every machine has a loopback address of its own, and all of them
share one set of free ports. The stand-ins follow PROTOCOL.md and DEPLOY.md; where these are silent,
they behave like a plain, sound HTTP/1.1 client or server.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BINARY = os.path.join(ROOT, "target", "release", "zinniastall-platform")
COMMANDS = {
    "edge": ["edge", "--metrics", "9464", "--load-control", "auto"],
    "core": ["core", "--metrics", "9464"],
}
HEARTBEAT_S = 1.2
# run.sh makes 1 of it; the interpreter itself ends with 1 after an error.
BROKEN = 11
# Edge machines of korrigan-marques: with its three core machines, twelve in all.
EDGES = {"brest-a": 4, "nantes-b": 2, "paris-c": 3}


class CannotRun(Exception):
    """The case could not be set up; this says nothing about the rule."""


def monotonic():
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = monotonic()

    def line(self, *words):
        self.file.write("%9.3f %s\n" % (monotonic() - self.start, " ".join(map(str, words))))
        self.file.flush()

    def at(self, moment):
        return moment - self.start


# --- HTTP/1.1 ------------------------------------------------------------------------------------


async def read_head(reader):
    """Returns the first line and the fields of a message, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, bodiless=False):
    if bodiless:
        return b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                while (await reader.readuntil(b"\r\n")) != b"\r\n":
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return None


def encode(first, fields, body=b""):
    lines = [first] + ["%s: %s" % field for field in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Answer:
    def __init__(self, status, fields, body, complete, error=""):
        self.status = status
        self.fields = fields
        self.body = body
        self.complete = complete
        self.error = error


async def call(address, method, path, fields=(), body=b"", timeout=10.0, source=None):
    """Sends one request on a new connection and returns its answer; status 0 if there was none."""
    host, port = address.rsplit(":", 1)
    writer = None
    status, heads, received = 0, {}, b""
    try:
        async with asyncio.timeout(timeout):
            local = (source, 0) if source else None
            reader, writer = await asyncio.open_connection(host, int(port), local_addr=local)
            head = list(fields)
            if not any(name.lower() == "host" for name, _ in head):
                head.insert(0, ("Host", address))
            if body or method in ("PUT", "POST"):
                head.append(("Content-Length", len(body)))
            writer.write(encode("%s %s HTTP/1.1" % (method, path), head, body))
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return Answer(0, {}, b"", False, "closed without an answer")
            status, heads = int(head[0].split(" ")[1]), head[1]
            received = await read_body(reader, heads, status in (204, 304))
            if received is None:
                received = await reader.read()
            return Answer(status, heads, received, True)
    except TimeoutError:
        return Answer(status, heads, received, False, "no whole answer in time")
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        return Answer(status, heads, received, False, "%s: %s" % (type(error).__name__, error))
    finally:
        if writer is not None:
            writer.close()


# --- machines ------------------------------------------------------------------------------------


class Machine:
    """One machine of the system, with one process."""

    def __init__(self, world, name, role, zone, ip):
        self.world, self.name, self.role, self.zone, self.ip = world, name, role, zone, ip
        self.folder = os.path.join(world.folder, name)
        os.makedirs(self.folder)
        self.boot = os.path.join(self.folder, "local.toml")
        self.data = os.path.join(self.folder, "data")
        self.process = None
        self.is_first = True

    @property
    def front(self):
        return "%s:%d" % (self.ip, self.world.ports["front"])

    @property
    def ready(self):
        return "%s:%d" % (self.ip, self.world.ports["ready"])

    @property
    def control(self):
        return "%s:%d" % (self.ip, self.world.ports["control"])

    def settings(self):
        world = self.world
        if self.role == "edge":
            listen = {"front": self.front, "ready": self.ready,
                      "directory": "%s:%d" % (self.ip, world.ports["directory"])}
            limits = {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100,
                      "link_mbps": 1000.0, "disk_mb": 0}
            serves = ["edge", "directory"]
        else:
            listen = {"control": self.control}
            limits = {"cpu_share": 0.3, "cores": 1, "memory_mb": 256, "max_fds": 4096,
                      "link_mbps": 1000.0, "disk_mb": 128}
            serves = ["control_plane"]
        plain = {
            "node_name": self.name, "role": self.role, "machine_class": self.role,
            "serves": serves, "ip": self.ip, "zone": self.zone, "region": world.zones[self.zone],
            "port_range": [world.ports["range"], world.ports["range"] + 15],
            "seeds": world.seeds(), "bootstrap": self.is_first, "loss_counts": self.role == "core",
            "discovery": "registration", "entry": "directory", "heartbeat_ms": 1200,
            "contracts": world.contracts,
            "config_mode": "highest",
        }
        if self.role == "core":
            plain["data_dir"] = self.data
        tables = [("zones", world.zones), ("listen", listen), ("limits", limits),
                  ("tolerate", {"machines": 1, "zones": 1, "regions": 1}), ("bounds", world.bounds)]
        lines = ["%s = %s" % (key, json.dumps(value)) for key, value in plain.items()]
        for table, entries in tables:
            lines.append("[%s]" % table)
            lines += ["%s = %s" % (key, json.dumps(value)) for key, value in entries.items()]
        return "\n".join(lines) + "\n"

    def start(self):
        with open(self.boot, "w", encoding="utf-8") as file:
            file.write(self.settings())
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["ZINNIASTALL_BOOT"] = self.boot
        log = open(os.path.join(self.folder, "log.txt"), "ab")
        self.process = subprocess.Popen([BINARY] + COMMANDS[self.role], cwd=ROOT, env=environment,
                                        stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.world.record.line("start", self.name, self.ip)

    def send_signal(self, number):
        self.world.record.line("signal", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        self.send_signal(signal.SIGKILL)
        self.process.wait()

    def stop(self):
        self.send_signal(signal.SIGSTOP)

    def resume(self):
        self.send_signal(signal.SIGCONT)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def log(self):
        with open(os.path.join(self.folder, "log.txt"), encoding="utf-8", errors="replace") as file:
            return file.read()


# --- workers -------------------------------------------------------------------------------------


class Worker:
    """A sound worker; a case changes its behaviour by replacing `serve`."""

    def __init__(self, world, name, service, zone, ip, slots=6, work_s=0.015):
        self.world, self.name, self.service, self.zone, self.ip = world, name, service, zone, ip
        self.slots, self.work_s = slots, work_s
        self.address = "%s:%d" % (ip, world.ports["worker"])
        self.state, self.sequence, self.cold_ms = "ready", 0, 0
        self.born = int(time.time() * 1000)
        self.server = None
        self.tasks = set()
        self.writers = set()
        self.beating = None
        self.running = 0
        self.serve = self.serve_soundly

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.connection, host, int(port), limit=1 << 20)
        self.beating = asyncio.create_task(self.beat())
        self.world.record.line("worker", self.name, self.service, self.zone, self.address)

    async def stop(self):
        """Ends the worker's process: no further heartbeat, all connections closed."""
        if self.beating:
            self.beating.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    async def report(self):
        """Sends one heartbeat; returns whether it was confirmed."""
        self.sequence += 1
        beat = {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "cold_left_ms": self.cold_ms, "born": self.born, "seq": self.sequence}
        body = json.dumps(beat).encode()
        for core in self.world.near(self.zone):
            fields = [("Content-Type", "application/json")]
            answer = await call(core.control, "PUT", "/-/instances/" + self.name, fields, body, 1.0)
            if 200 <= answer.status < 300:
                return True
        return False

    async def beat(self):
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def connection(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, path, _ = head[0].split(" ")
                if path == "/healthz":
                    status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
                    fields = [("X-Instance-Id", self.name), ("Content-Length", 0)]
                    writer.write(encode("HTTP/1.1 " + status, fields))
                elif path == "/-/report":
                    fields = [("Content-Type", "application/json"), ("Content-Length", 2)]
                    writer.write(encode("HTTP/1.1 200 OK", fields, b"{}"))
                else:
                    body = await read_body(reader, head[1]) or b""
                    if not await self.request(method, path, head[1], body, reader, writer):
                        return
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def request(self, method, path, fields, body, reader, writer):
        """Handles a request; returns whether the connection goes on."""
        name = fields.get("x-request-id", "")
        expected = fields.get("x-expect-instance", self.name)
        if expected != self.name:
            self.world.record.line("rejected", name, self.name, "421")
            head = [("X-Instance-Id", self.name), ("X-Request-Id", name), ("X-Not-Executed", 1),
                    ("Content-Length", 0)]
            writer.write(encode("HTTP/1.1 421 Misdirected Request", head))
            return True
        if self.running >= self.slots:
            self.world.record.line("rejected", name, self.name, "503")
            head = [("X-Request-Id", name), ("X-Not-Executed", 1), ("Content-Length", 0)]
            writer.write(encode("HTTP/1.1 503 Service Unavailable", head))
            return True
        self.running += 1
        run = Run(name, self, method, path, fields, body, monotonic())
        self.world.runs.append(run)
        self.world.record.line("runs", name, self.name, self.service, method, path)
        try:
            return await self.serve(run, reader, writer)
        finally:
            self.running -= 1

    async def serve_soundly(self, run, reader, writer):
        await asyncio.sleep(self.work_s)
        writer.write(encode("HTTP/1.1 200 OK", self.answer_fields(run), self.body(run)))
        return True

    def body(self, run):
        return ("answer to %s by %s\n" % (run.id, self.name)).encode()

    def answer_fields(self, run, length=True):
        fields = [("X-Request-Id", run.id), ("X-Server-Stamp", "%s.%s" % (self.name, run.id)),
                  ("Keep-Alive", "timeout=5")]
        if length:
            fields.append(("Content-Length", len(self.body(run))))
        return fields


class Run:
    def __init__(self, id, worker, method, path, fields, body, at):
        self.id, self.worker, self.method, self.path = id, worker, method, path
        self.fields, self.body, self.at = fields, body, at


# --- the world -----------------------------------------------------------------------------------


class World:
    """The machines, workers and clients of a small deployment, on loopback addresses."""

    def __init__(self, folder, zones, bounds=None):
        if not os.access(BINARY, os.X_OK):
            raise CannotRun("target/release/zinniastall-platform is missing")
        self.case = folder
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="zinniastall-review-")
        self.zones = zones
        self.contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine",
                          "stream", "places"]
        self.bounds = {
            "seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 5000, "ack_ms": 6000,
            "catch_up_s": 4, "drain_ms": 3000, "grace_s": 8, "loss_slack_ms": 200,
            "config_apply_ms": 3000, "downgrade_slack_ms": 250, "max_stretch_ms": 8000,
            "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 58,
            "cold_burst_factor": 1.5, "cold_slack": 3, "evacuate_ms": 5000, "recovery_s": 12,
            "pass_ms": 600, "reuse_window_s": 10, "ttl_max_s": 5,
        }
        self.bounds.update(bounds or {})
        self.machines, self.workers, self.runs = [], [], []
        self.net = random.randrange(1, 250)
        self.next_host = 1
        self.ports = self.free_ports()

    def free_ports(self):
        """Chooses ports that are free on all addresses."""
        for _ in range(50):
            base = random.randrange(20_000, 30_000)
            wanted = list(range(base, base + 16)) + [base + 20 + at for at in range(5)]
            if all(is_free(port) for port in wanted):
                return {"range": base, "front": base + 20, "ready": base + 21,
                        "control": base + 22, "directory": base + 23, "worker": base + 24}
        raise CannotRun("no free ports")

    def address(self):
        self.next_host += 1
        return "127.%d.%d.%d" % (self.net, self.next_host // 250, 1 + self.next_host % 250)

    def machine(self, name, role, zone):
        machine = Machine(self, name, role, zone, self.address())
        self.machines.append(machine)
        return machine

    def layout(self, edges):
        """Adds a core machine to each zone and as many edge machines as `edges` says, by zone."""
        for zone in self.zones:
            self.machine("core-" + zone, "core", zone)
        return {zone: [self.machine("edge-%s-%d" % (zone, number + 1), "edge", zone)
                       for number in range(count)] for zone, count in edges.items()}

    def worker(self, name, service, zone, **options):
        worker = Worker(self, name, service, zone, self.address(), **options)
        self.workers.append(worker)
        return worker

    def cores(self):
        return [machine for machine in self.machines if machine.role == "core"]

    def edges(self):
        return [machine for machine in self.machines if machine.role == "edge"]

    def near(self, zone):
        return sorted(self.cores(), key=lambda core: core.zone != zone)

    def seeds(self):
        return [core.control for core in self.cores()][:3]

    async def order(self, method, path, body=b"", timeout=20.0):
        """Sends an operator's order until it gets a clear answer; returns status and time."""
        end = monotonic() + timeout
        pause = 0.1
        while monotonic() < end:
            for core in self.cores():
                address, location = core.control, path
                for _ in range(3):
                    fields = [("Content-Type", "application/json")] if body else []
                    answer = await call(address, method, location, fields, body, 1.0)
                    if answer.status != 307:
                        break
                    rest = answer.fields["location"][len("http://"):]
                    address, location = rest.split("/", 1)[0], "/" + rest.split("/", 1)[1]
                if 200 <= answer.status < 500 and answer.status not in (307, 408, 429):
                    self.record.line("order", method, path, answer.status, len(body))
                    return answer.status, monotonic(), answer
            await asyncio.sleep(pause)
            pause = min(pause * 2, 1.0)
        raise CannotRun("no clear answer to %s %s" % (method, path))

    async def publish(self, manifest):
        body = json.dumps(manifest).encode()
        status, at, _ = await self.order("PUT", "/-/config", body)
        self.record.line("manifest", manifest["version"], status)
        if status != 200:
            raise CannotRun("manifest %d was refused: %d" % (manifest["version"], status))
        return at

    async def until_ready(self, timeout=20.0):
        end = monotonic() + timeout
        for edge in self.edges():
            while (await call(edge.ready, "GET", "/-/readyz", timeout=1.0)).status != 200:
                if monotonic() > end:
                    raise CannotRun("%s is not ready" % edge.name)
                await asyncio.sleep(0.1)

    async def request(self, edge, method, path, host, id, deadline_ms, body=b"", fields=()):
        """Sends a client's request to an edge machine; returns when it was sent, and its answer."""
        head = [("Host", host), ("X-Request-Id", id), ("X-Deadline-Ms", deadline_ms)]
        head += list(fields)
        sent = monotonic()
        self.record.line("sent", id, edge.name, method, path)
        answer = await call(edge.front, method, path, head, body, deadline_ms / 1000 + 0.5)
        self.record.line("answered", id, answer.status,
                         answer.fields.get("x-server-stamp", "-"),
                         "whole" if answer.complete else "broken", answer.error)
        return sent, answer

    async def close(self, keep=False):
        for worker in self.workers:
            await worker.stop()
        for machine in self.machines:
            if machine.is_running():
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def route(name, prefix, kind, split, **more):
    """A route of a manifest."""
    fields = {"name": name, "host": "review.example", "path_prefix": prefix, "kind": kind,
              "timeout_ms": 8000, "target_latency_ms": 500, "priority": 1, "max_attempts": 2,
              "sticky": False, "resumable": False, "home_regions": []}
    if isinstance(split, str):
        fields["service"] = split
    else:
        fields["traffic_split"] = [{"service": name, "weight": weight} for name, weight in split]
    fields.update(more)
    return fields


def service(name, **more):
    fields = {"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1",
              "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0}
    fields.update(more)
    return fields


def manifest(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def run(case, limit_s=110):
    """Runs a case and exits with BROKEN if the rule was broken, 0 if it held, 2 if it couldn't run.

    `case(folder, trouble)` returns whether the rule held, and closes its world.
    """
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited():
        async with asyncio.timeout(limit_s):
            return await case(folder, trouble)

    try:
        held = asyncio.run(limited())
    except CannotRun as error:
        print("could not run:", error)
        sys.exit(2)
    except BaseException:  # A fault of the case itself is no verdict.
        traceback.print_exc()
        sys.exit(2)
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else BROKEN)
