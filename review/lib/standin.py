"""Stand-ins of the users' platform for the review's scripts: store, machine service, minions and clients.

Everything listens on loopback. The store, the machine service and the minions answer as PROTOCOL.md says; where the page
is silent they behave like a sound server. The entry daemons are started with the command of `deploy/system.toml`.
"""

import asyncio
import base64
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STOP_S = 0.4
MAX_HOLD_MS = 10_000
MOVE_S = 1.5


class CannotRun(Exception):
    """The case couldn't run; the script exits with 2."""


def now():
    return time.monotonic()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


# ---------------------------------------------------------------- HTTP


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.headers, self.body = method, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)

    def json(self):
        return json.loads(self.body) if self.body else {}


async def read_message(reader):
    """Start line, headers and body of a message, or None at the end of the channel."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    return lines[0], headers, body


def encode_answer(status, body):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    head = f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


class Server:
    """An HTTP server. `handler(request)` returns a status and a body, or None for no answer."""

    def __init__(self, handler):
        self.handler = handler
        self.connections = set()

    async def start(self, ip="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=1 << 24, backlog=512)
        name = self.server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"
        return self.address

    def break_channels(self):
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await self.handler(Request(method, target, headers, body))
                if answer is None:
                    return
                writer.write(encode_answer(*answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Channel:
    """A client's channel to a front address, kept open between requests."""

    def __init__(self, address):
        self.address, self.reader, self.writer = address, None, None

    async def send(self, method, target, host, body=None, deadline_ms=3000):
        """Sends a request. Returns status, headers and body; status 0 when the channel ended without an answer."""
        try:
            if self.writer is None:
                ip, port = self.address.split(":")
                self.reader, self.writer = await asyncio.open_connection(ip, int(port), limit=1 << 24)
            data = json.dumps(body).encode() if body is not None else b""
            head = (
                f"{method} {target} HTTP/1.1\r\nHost: {host}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
            )
            self.writer.write(head.encode() + data)
            await self.writer.drain()
            self.sent_at = now()
            first, headers, answer = await asyncio.wait_for(read_message(self.reader), deadline_ms / 1000 + 1)
            if headers.get("connection", "").lower() == "close":
                self.close()
            return int(first.split(" ")[1]), headers, answer
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            self.close()
            return 0, {}, b""

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


# ---------------------------------------------------------------- the store


class Topic:
    def __init__(self):
        self.records, self.producers = [], {}


def split_keyed(content):
    length = content[0]
    return content[1 : 1 + length], content[1 + length :]


class Store:
    """The platform's store: an append-only log with keyed topics, kept in memory."""

    def __init__(self, answer_s=0.004, append_s=0.002):
        self.topics, self.changed = {}, asyncio.Condition()
        self.answer_s, self.append_s = answer_s, append_s
        self.locks, self.down = {}, False

    def topic(self, name, part=0):
        return self.topics.setdefault((name, int(part)), Topic())

    async def put(self, topic, key, value):
        """Writes a keyed record, as the operator or a minion does."""
        data = json.dumps(value).encode() if value is not None else b""
        self.topic(topic).records.append(bytes([len(key)]) + key.encode() + data)
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, request):
        await asyncio.sleep(self.answer_s)
        if self.down:
            return 503, {}
        name, part = request.query["topic"], request.query.get("part", "0")
        if request.path.endswith("log-append"):
            async with self.locks.setdefault((name, part), asyncio.Lock()):
                await asyncio.sleep(self.append_s)
                answer = self.append(self.topic(name, part), request)
            async with self.changed:
                self.changed.notify_all()
            return answer
        if request.path.endswith("log-read"):
            return await self.read(self.topic(name, part), request)
        if request.path.endswith("log-newest"):
            return self.newest(self.topic(name, part), request)
        return 404, {}

    def append(self, topic, request):
        if len(request.body) > 2_097_152:
            return 400, {"reason": "call_bytes"}
        query, end = request.query, len(topic.records)
        if "as_of" in query and int(query["as_of"]) != end:
            return 412, {"end": end}
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query.get("sequence", 0))
            known = topic.producers.get(query["producer"])
            if known and epoch < known["epoch"]:
                return 409, {"reason": "fenced"}
            if not known or epoch > known["epoch"]:
                known = topic.producers[query["producer"]] = {"epoch": epoch, "next": sequence, "answers": {}}
            if sequence in known["answers"]:
                return 200, known["answers"][sequence]
            if sequence != known["next"]:
                return 409, {"reason": "seq", "sequence": known["next"]}
        records, body = [], request.body
        while body:
            length = int.from_bytes(body[:4], "big")
            if length > 262_144:
                return 400, {"reason": "record_bytes"}
            records.append(body[4 : 4 + length])
            body = body[4 + length :]
        topic.records.extend(records)
        answer = {"offset": end, "end": len(topic.records)}
        if "producer" in query:
            known["next"] = sequence + 1
            known["answers"][sequence] = answer
            for old in sorted(known["answers"])[:-5]:
                del known["answers"][old]
        return 200, answer

    async def read(self, topic, request):
        start, limit = int(request.query["from"]), int(request.query.get("max_kb", 1024)) * 1024
        end_time = now() + int(request.query.get("wait_ms", 0)) / 1000
        while len(topic.records) <= start and now() < end_time:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), end_time - now())
                except asyncio.TimeoutError:
                    break
        body = len(topic.records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        for record in topic.records[start:]:
            body += len(record).to_bytes(4, "big") + record
            if len(body) > limit:
                break
        return 200, body

    def newest(self, topic, request):
        latest = {}
        for offset, record in enumerate(topic.records):
            key, value = split_keyed(record)
            latest.pop(key, None)
            if value:
                latest[key] = (offset, value)
        after = request.query.get("after", "").replace("%2F", "/").encode()
        items, size, more = [], 0, False
        for key in sorted(latest):
            if after and key <= after:
                continue
            if len(items) == 500 or size > 900_000:
                more = True
                break
            offset, value = latest[key]
            size += len(value)
            text = base64.b64encode(value).decode()
            items.append({"key": key.decode("utf8", "replace"), "value": text, "offset": offset})
        return 200, {"items": items, "more_pages": more, "end": len(topic.records)}


# ---------------------------------------------------------------- minions and machines


class Run:
    def __init__(self, task, run, length_s, cpu):
        self.task, self.run, self.length_s, self.cpu = task, run, length_s, cpu
        self.begun, self.stopping = now(), None


class Minion:
    """One machine with its minion. A new life gets a new id, unless `same_id` is given at a restart."""

    count = 0

    def __init__(self, fleet, machine, service, rack, cpu, mem_mb):
        self.fleet, self.machine, self.service, self.rack = fleet, machine, service, rack
        self.cpu, self.mem_mb, self.state = cpu, mem_mb, "up"
        self.server = None
        self.begin_life()

    def begin_life(self, same_id=None):
        Minion.count += 1
        self.id = same_id or f"i-{Minion.count:06x}{random.randrange(1 << 16):04x}"
        self.born = int(time.time() * 1000)
        self.clock_base, self.fence, self.deadline = now() - random.uniform(1, 400), 0, 0
        self.runs, self.ends, self.number, self.refused, self.sequence = {}, [], 0, {}, 0
        self.alive, self.state = True, "up"
        self.cold_until, self.cold_s = 0, 0

    def crash(self):
        """The process is gone: everything that ran there has ended, and all channels break."""
        self.alive = False
        for run in list(self.runs.values()):
            del self.runs[run.task]
            self.fleet.over(self, run, "crashed")
        self.server.break_channels()
        self.log("crashed")

    def clock(self):
        return int((now() - self.clock_base) * 1000)

    def log(self, text):
        self.fleet.record(f"minion {self.id} {text}")

    def end(self, run, how):
        del self.runs[run.task]
        self.number += 1
        saved = ""
        self.ends.append([self.number, run.task, run.run, how, saved])
        self.refused[run.task] = max(self.refused.get(run.task, 0), run.run)
        self.fleet.over(self, run, how)

    def advance(self):
        at = now()
        for run in list(self.runs.values()):
            if self.clock() >= self.deadline:
                self.end(run, "lapsed")
            elif run.stopping is not None and at >= run.stopping + STOP_S * 0.9:
                self.end(run, "stopped")
            elif run.length_s is not None and run.stopping is None and at >= run.begun + run.length_s:
                self.end(run, "done")

    def used(self):
        return sum(run.cpu for run in self.runs.values())

    def answer(self, status, **fields):
        return status, {"clock_ms": self.clock(), "born": self.born, **fields}

    async def handle(self, request):
        if not self.alive:
            return None
        if now() < self.cold_until:
            await asyncio.sleep(self.cold_s)
        self.advance()
        if request.headers.get("x-target-instance", self.id) != self.id:
            return 421, {}
        body = request.json()
        if body.get("fencing_token", 0) < self.fence:
            return self.answer(409, reason="fence")
        self.fence = max(self.fence, body.get("fencing_token", 0))
        name = request.path.rsplit("/", 1)[-1]
        if name == "run-start":
            return await self.fleet.on_start(self, body)
        if name == "run-stop":
            return self.stop(body)
        if name == "hold":
            return await self.hold(body)
        return self.answer(200)

    def extend(self, deadline):
        self.deadline = max(self.deadline, min(deadline, self.clock() + MAX_HOLD_MS))

    def start(self, body):
        task, run = body["task"], body["run"]
        if task in self.runs and self.runs[task].run == run:
            return self.answer(200)
        if body["deadline_ms"] <= self.clock():
            return self.answer(409, reason="late")
        self.extend(body["deadline_ms"])
        if run <= self.refused.get(task, 0) or task in self.runs:
            return self.answer(409, reason="old")
        step = self.fleet.step_of(task)
        if self.used() + step["cpu"] > self.cpu:
            return self.answer(409, reason="room")
        length = None if step.get("long_running") else step.get("est_runtime_ms", 100) / 1000
        self.runs[task] = Run(task, run, length, step["cpu"])
        self.fleet.began(self, self.runs[task])
        return self.answer(200)

    def stop(self, body):
        task, run = body["task"], body["run"]
        current = self.runs.get(task)
        if current and current.run <= run:
            current.stopping = current.stopping or now()
        self.refused[task] = max(self.refused.get(task, 0), run)
        return self.answer(200)

    async def hold(self, body):
        for row in self.ends:
            if row[0] <= body["last_seen"]:
                self.fleet.noted(row)
        self.ends = [row for row in self.ends if row[0] > body["last_seen"]]
        if "deadline_ms" in body:
            self.extend(body["deadline_ms"])
        until = now() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.ends and now() < until:
            await asyncio.sleep(0.01)
            self.advance()
        self.advance()
        running = []
        for run in self.runs.values():
            passed = now() - run.begun
            percent = 100 if run.length_s is None else min(99, int(100 * passed / max(run.length_s, 0.001)))
            running.append([run.task, run.run, "", percent, 0])
        return self.answer(200, running=running, ended=self.ends[:500])

    def entry(self, state="ready"):
        self.sequence += 1
        return {
            "service": self.service, "address": self.server.address, "zone": "z1", "version": "v1", "slots": 8,
            "state": state, "cold_left_ms": max(0, int((self.cold_until - now()) * 1000)), "sequence": self.sequence, "born": self.born,
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb}, "labels": ["std", self.rack],
        }


class Fleet:
    """All machines with their minions, the machine service, and what ran when."""

    def __init__(self, store, record):
        self.store, self.record = store, record
        self.minions, self.steps = [], {}
        self.history, self.acknowledged = [], []
        self.on_start = self.start_at_once

    async def start_at_once(self, minion, body):
        return minion.start(body)

    async def add(self, service, count, cpu=64_000, mem_mb=262_144):
        for _ in range(count):
            number = len(self.minions)
            minion = Minion(self, f"m-{number}", service, f"r1-{number // 4}", cpu, mem_mb)
            minion.server = Server(minion.handle)
            await minion.server.start()
            self.minions.append(minion)
            await self.register(minion)

    async def register(self, minion):
        await self.store.put("keyed.servers", minion.id, minion.entry())

    async def ping(self):
        """The minions' pings: every 1.5 s each."""
        while True:
            await asyncio.sleep(1.5)
            for minion in self.minions:
                minion.advance()
                if minion.alive:
                    await self.register(minion)

    async def restart(self, minion, down_s, register_s, cold_for_s=0, cold_s=0):
        """A crash; the minion starts again under its id, registers `register_s` after its start, and answers later by
        `cold_s` for a while."""
        minion.crash()
        await asyncio.sleep(down_s)
        minion.begin_life(same_id=minion.id)
        minion.cold_until, minion.cold_s = now() + cold_for_s, cold_s
        minion.log("started again under its id")
        await asyncio.sleep(register_s)
        await self.register(minion)
        minion.log("registered its new start")

    def overlaps(self):
        """Pairs of runs of one task that were at work at the same time."""
        by_task = {}
        for row in self.history:
            by_task.setdefault(row[0], []).append(row)
        pairs = []
        for rows in by_task.values():
            rows.sort(key=lambda row: row[3])
            for first, second in zip(rows, rows[1:]):
                if first[4] is None or first[4] > second[3]:
                    pairs.append((first, second))
        return pairs

    def know(self, job, steps):
        self.steps[job] = steps

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.steps[job][int(step)]

    def began(self, minion, run):
        run.row = [run.task, run.run, minion.id, run.begun, None, None]
        self.history.append(run.row)

    def over(self, minion, run, how):
        run.row[4], run.row[5] = now(), how

    def noted(self, row):
        """An end was acknowledged."""
        _, task, run, how, _ = row
        self.acknowledged.append((task, run, how, now()))

    def starts_after_done(self):
        """Starts of a task after a run of it had ended `done`, where that end was acknowledged then or later."""
        noted = {(task, run) for task, run, how, _ in self.acknowledged if how == "done"}
        first_done = {}
        for row in self.history:
            if row[5] == "done" and (row[0], row[1]) in noted:
                known = first_done.get(row[0])
                first_done[row[0]] = row if known is None or row[4] < known[4] else known
        return [(first_done[row[0]], row) for row in self.history if row[0] in first_done and row[3] > first_done[row[0]][4]]

    async def move(self, minion, pool):
        for run in list(minion.runs.values()):
            minion.end(run, "stopped")
        await self.store.put("keyed.servers", minion.id, None)
        minion.alive, minion.state = False, "moving"
        minion.service = pool
        await asyncio.sleep(MOVE_S)
        minion.begin_life()
        await self.register(minion)

    async def handle(self, request):
        if request.path.endswith("/machines"):
            rows = [
                {
                    "machine": m.machine, "pool": m.service, "state": m.state, "zone": "z1", "labels": ["std", m.rack],
                    "capacity": {"cpu": m.cpu, "mem_mb": m.mem_mb}, **({"id": m.id} if m.state == "up" else {}),
                }
                for m in self.minions
            ]
            return 200, {"machines": rows}
        body = request.json()
        minion = next((m for m in self.minions if m.machine == body["machine"]), None)
        if minion is None:
            return 400, {}
        if request.path.endswith("machine-move"):
            if minion.service == body["pool"]:
                return 200, {}
            if minion.state != "up":
                return 409, {"reason": "busy"}
            asyncio.ensure_future(self.move(minion, body["pool"]))
            return 200, {}
        return 409, {"reason": "wave"}


# ---------------------------------------------------------------- the daemons


SETTINGS = """node = "{name}"
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "z1"
region = "r1"
port_range = [{ports}, {last_port}]
bootstrap = true
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","upkeep","sharing"]
orders = "push"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
max_hold_ms = 10000
stop_ms = 400
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
checkpoint_s = 1
restore_ms = 100
move_s = 1.5
upkeep_s = 2
require_fencing = true
lease_ms = 3000
[platform]
address = "{store}"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 12
append_ms = 2.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
ttl_min_ms = 1000
[cloud_api]
address = "{cloud}"
rate_per_s = 64.0
duty_per_s = 64.0
"""


class Node:
    """An entry daemon on an address of its own, started with the command of the deploy file."""

    def __init__(self, world, number):
        self.world, self.name = world, f"front-z1-{number}"
        self.ip = f"127.0.{random.randrange(10, 250)}.{random.randrange(2, 250)}"
        ports = [free_port(self.ip) for _ in range(3)]
        self.front, self.ready = f"{self.ip}:{ports[0]}", f"{self.ip}:{ports[1]}"
        self.settings = os.path.join(world.folder, f"{self.name}.toml")
        text = SETTINGS.format(
            name=self.name, ip=self.ip, front=ports[0], ready=ports[1], ports=ports[2], last_port=ports[2],
            store=world.store_server.address, cloud=world.cloud_server.address,
        )
        with open(self.settings, "w") as file:
            file.write(text)
        self.log_path = os.path.join(world.folder, f"{self.name}.log")
        self.process, self.starts = None, 0

    def start(self):
        with open(os.path.join(ROOT, "deploy/system.toml")) as file:
            words = shlex.split(re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE).group(1))
        program = os.path.join(ROOT, words[0])
        if not os.path.exists(program):
            raise CannotRun(f"{program} isn't built")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": self.world.folder, "COPPERJUNCTION_SETTINGS": self.settings}
        with open(self.log_path, "a") as log:
            self.process = subprocess.Popen(
                [program, *words[1:]], cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        self.starts += 1
        self.world.record(f"process {self.name} started, pid {self.process.pid}, start {self.starts}")

    def memory_mb(self):
        """Memory of the process, resident or swapped out; None when it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                rows = dict(line.split(":", 1) for line in file if ":" in line)
            return sum(int(rows[name].split()[0]) for name in ("VmRSS", "VmSwap") if name in rows) / 1024
        except (OSError, KeyError):
            return None

    def ended(self):
        """Exit code of a process that has ended by itself; None while it runs."""
        return self.process.poll() if self.process else None

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()


class World:
    """A small deployment: store, machine service, minions, operator and entry daemons."""

    def __init__(self, case_folder):
        self.folder = tempfile.mkdtemp(prefix="cj-review-")
        self.record_file = open(os.path.join(case_folder, "record.txt"), "w")
        self.begun = now()
        self.nodes, self.tasks = [], []
        self.host, self.prefix = "pule25.example", "/puxa400/"

    def record(self, text):
        self.record_file.write(f"{now() - self.begun:8.3f} {text}\n")
        self.record_file.flush()

    def spawn(self, work):
        self.tasks.append(asyncio.ensure_future(work))

    async def start(self, nodes=3, machines=8, spare=2, cpu=64_000, queue=None):
        self.store = Store()
        self.store_server, self.fleet = Server(self.store.handle), Fleet(self.store, self.record)
        await self.store_server.start()
        self.cloud_server = Server(self.fleet.handle)
        await self.cloud_server.start()
        route = {
            "name": "r-1", "host": self.host, "path_prefix": self.prefix, "service": "pekar-studio", "priority": 0,
            "max_attempts": 3, "stretch": 2.0, "target_latency_ms": 1000, **(queue or {}),
        }
        services = [{"name": "pekar-studio", "rejects_overload": True}]
        services.append({"name": "skupni-servis", "rejects_overload": True, "spare": True})
        await self.store.put("keyed.op", "config", {"version": 3, "routes": [route], "services": services})
        await self.fleet.add("pekar-studio", machines, cpu)
        await self.fleet.add("skupni-servis", spare, cpu)
        self.spawn(self.fleet.ping())
        self.nodes = [Node(self, number + 1) for number in range(nodes)]
        for node in self.nodes:
            node.start()
        await self.until_ready()

    async def until_ready(self, limit_s=15):
        end = now() + limit_s
        while now() < end:
            await asyncio.sleep(0.2)
            answers = [await self.is_ready(node) for node in self.nodes]
            if all(answers) and any(self.owner()):
                return
        raise CannotRun("the nodes didn't become ready")

    async def is_ready(self, node):
        channel = Channel(node.ready)
        status, _, _ = await channel.send("GET", "/copperjunction/readiness", "ready", deadline_ms=500)
        channel.close()
        return status == 200

    def owner(self):
        """For each node whether its log shows it as the last owner of the cell."""
        last = (0, None)
        for node in self.nodes:
            with open(node.log_path) as file:
                for line in file:
                    if "choice=own " in line:
                        epoch = int(line.split("epoch=")[1].split()[0])
                        last = max(last, (epoch, node.name))
        return [node.name == last[1] for node in self.nodes]

    def owner_node(self):
        return next((node for node, owns in zip(self.nodes, self.owner()) if owns), None)

    async def submit(self, node, job, steps, extra=None, deadline_ms=3000, channel=None):
        """POSTs a job at a node. Returns the status; 0 for no answer."""
        self.fleet.know(job, steps)
        own = channel or Channel(node.front)
        body = {"spec": "render", "steps": steps, **(extra or {})}
        sent = now()
        status, headers, _ = await own.send("POST", self.prefix + job, self.host, body, deadline_ms)
        if channel is None:
            own.close()
        took = int((now() - sent) * 1000)
        self.record(f"POST {job} at {node.name}: {status or 'no answer'} after {took} ms")
        return status

    async def submit_until_accepted(self, job, steps, extra=None, limit_s=10):
        """POSTs a job at one node after the other until one accepts it, as a client does."""
        end, at = now() + limit_s, random.randrange(len(self.nodes))
        while now() < end:
            status = await self.submit(self.nodes[at % len(self.nodes)], job, steps, extra)
            if status == 200:
                return True
            at += 1
            await asyncio.sleep(0.5)
        return False

    async def state(self, node, job):
        """State of a job by a GET at a node: the state, or the status."""
        channel = Channel(node.front)
        status, _, body = await channel.send("GET", self.prefix + job, self.host)
        channel.close()
        return json.loads(body)["state"] if status == 200 else str(status or "no answer")

    async def lost_tasks(self, jobs, lasting=(), watch_s=8):
        """Watches for what rule LOST forbids at the end: for 3 s a task whose turn has come doesn't run, there is capacity
        for it twice over, and under half of the service's capacity is in use. A task that lasts counts from 6 s after its
        last run, any other while nothing of its job runs. The jobs have one step each."""
        fleet, idle_since, lost = self.fleet, {}, {}
        tasks = [(job, f"{job}.0.0.{n}") for job in [*jobs, *lasting] for n in range(fleet.steps[job][0]["count"])]
        done = {row[0] for row in fleet.history if row[5] == "done"}
        end = now() + watch_s
        while now() < end:
            await asyncio.sleep(0.1)
            for minion in fleet.minions:
                minion.advance()
            done |= {row[0] for row in fleet.history if row[5] == "done"}
            pool = [m for m in fleet.minions if m.service == "pekar-studio" and m.alive]
            capacity, used = sum(m.cpu for m in pool), sum(m.used() for m in pool)
            running = {run.task for m in pool for run in m.runs.values()}
            running_jobs = {task.split(".")[0] for task in running}
            last_run = {}
            for row in fleet.history:
                last_run[row[0]] = max(last_run.get(row[0], 0), row[4] or now())
            for job, task in tasks:
                need = fleet.step_of(task)["cpu"]
                if job in lasting:
                    turn = task not in running and now() > last_run.get(task, 0) + 6
                else:
                    turn = task not in done and job not in running_jobs
                if not turn or used * 2 >= capacity or capacity - used < 2 * need:
                    idle_since.pop(task, None)
                elif now() - idle_since.setdefault(task, now()) >= 3 and task not in lost:
                    lost[task] = True
                    self.record(f"LOST {task}: its turn has come and it hasn't run for 3 s; {used} of {capacity} in use")
        return lost

    def record_runs(self):
        """Writes each run to the record: when it began and ended, where, and how."""
        for task, run, minion, begun, ended, how in self.fleet.history:
            at = f"{ended - self.begun:.3f}" if ended else "-"
            self.record(f"run {run} of {task} on {minion}: {begun - self.begun:.3f} to {at} {how or 'runs on'}")

    async def close_servers(self):
        """Ends the stand-ins' channels before the event loop ends."""
        for task in self.tasks:
            task.cancel()
        minions = [minion.server for minion in self.fleet.minions] if hasattr(self, "fleet") else []
        for server in [getattr(self, "store_server", None), getattr(self, "cloud_server", None), *minions]:
            if server is not None:
                server.server.close()
                server.break_channels()
        await asyncio.sleep(0.1)

    def stop(self):
        for node in self.nodes:
            node.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record_file.close()


def job_id():
    return f"{random.getrandbits(64):016x}"


def main(case, case_file, limit_s=115):
    """Runs `case(world)`, which returns True when the rule held, and exits with the script's code."""
    world = World(os.path.dirname(os.path.abspath(case_file)))
    code = 2

    async def bounded():
        try:
            return await asyncio.wait_for(case(world), limit_s)
        finally:
            for node in world.nodes:
                node.kill()
            if hasattr(world, "fleet"):
                world.record_runs()
            await world.close_servers()

    def end(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, end)
    try:
        held = asyncio.run(bounded())
        code = 0 if held else 1
        world.record("the rule held" if held else "the rule was broken")
    except CannotRun as error:
        world.record(f"the case couldn't run: {error}")
        print(f"the case couldn't run: {error}", file=sys.stderr)
    except (asyncio.TimeoutError, KeyboardInterrupt):
        world.record("the case couldn't run: out of time")
    finally:
        world.stop()
    print(f"exit {code}")
    sys.exit(code)
