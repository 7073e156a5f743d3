"""Stand-ins of the platform for the scripts of the second review: the log store, the VM service, minions and clients.

They follow PROTOCOL.md and DEPLOY.md. Everything runs in one asyncio loop on loopback addresses; the entry nodes of the
project are separate processes, started with the command of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import time
from collections import deque
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
BINARY = ROOT / "target/release/copperjunction-entry"
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
APPEND_S = 0.002
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


def free_port():
    """A free port below those that the kernel gives to outgoing channels, so that none of these takes it meanwhile."""
    while True:
        port = random.randrange(20_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in TAKEN:
            TAKEN.add(port)
            return port


TAKEN = set()


def log_line(file, kind, **fields):
    file.write(json.dumps({"t": round(time.monotonic() - START, 3), "kind": kind, **fields}) + "\n")
    file.flush()


START = time.monotonic()


async def read_message(reader):
    """Reads the head and the body of a request or a response; `None` at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                break
    else:
        length = int(headers.get("content-length", 0))
        body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class HttpServer:
    """An HTTP/1.1 server; `handle` returns a status and a body (bytes, or a value to be sent as JSON)."""

    def __init__(self, handle, port=0):
        self.handle, self.port, self.server, self.writers = handle, port, None, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=4 << 20, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                line, headers, body = message
                method, target, _ = line.split(" ")
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                answer = await self.handle(method, url.path, query, headers, body)
                if answer is None:
                    break
                status, content = answer
                if not isinstance(content, bytes):
                    content = json.dumps(content, separators=(",", ":")).encode()
                head = f"HTTP/1.1 {status} {REASONS.get(status, 'x')}\r\nContent-Length: {len(content)}\r\n"
                writer.write(head.encode() + b"Content-Type: application/json\r\n\r\n" + content)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Closes the port and resets all channels, as a crash of the process does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Link:
    """A TCP link from one machine to a server. While it is cut, bytes are held up in both directions, and new channels hang."""

    def __init__(self, target):
        self.target, self.port, self.open = target, 0, asyncio.Event()
        self.open.set()

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=512)
        self.port, self.server = server.sockets[0].getsockname()[1], server
        return self

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()

    async def serve(self, reader, writer):
        await self.open.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.pump(reader, far_writer), self.pump(far_reader, writer))

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()


class Partition:
    def __init__(self, keyed):
        self.keyed, self.records, self.newest, self.producers = keyed, [], {}, {}
        self.changed, self.lock = asyncio.Event(), asyncio.Lock()

    def add(self, content):
        if self.keyed:
            size = content[0]
            key, value = content[1:1 + size].decode(), content[1 + size:]
            self.newest.pop(key, None)
            if value:
                self.newest[key] = (value, len(self.records))
        self.records.append(content)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()


def split_records(body):
    found, at = [], 0
    while at < len(body):
        size = int.from_bytes(body[at:at + 4], "big")
        found.append(body[at + 4:at + 4 + size])
        at += 4 + size
    return found


class Store:
    """The platform's log store."""

    def __init__(self):
        self.partitions, self.refused = {}, []

    def partition(self, topic, part=0):
        return self.partitions.setdefault((topic, int(part)), Partition(topic.startswith("keyed.")))

    def put(self, topic, key, value):
        """An append by the operator or a minion."""
        partition, raw = self.partition(topic), json.dumps(value).encode() if value is not None else b""
        partition.add(bytes([len(key)]) + key.encode() + raw)
        partition.wake()

    async def handle(self, method, path, query, headers, body):
        name = path.rsplit("/", 1)[-1]
        if name == "log-append":
            return await self.append(query, body)
        if name == "log-read":
            return await self.read(query)
        if name == "log-newest":
            return self.newest(query)
        return 404, {}

    async def append(self, query, body):
        topic = query["topic"]
        if topic in ("keyed.op", "keyed.servers"):
            return 403, {}
        partition, records = self.partition(topic, query["part"]), split_records(body)
        too_large = [len(r) for r in records if len(r) > RECORD_BYTES]
        if too_large or sum(map(len, records)) > CALL_BYTES:
            self.refused.append((round(time.monotonic() - START, 3), topic, max(map(len, records)), sum(map(len, records))))
            return 400, {"reason": "size"}
        async with partition.lock:
            await asyncio.sleep(APPEND_S)
            end = len(partition.records)
            if "as_of" in query and int(query["as_of"]) != end:
                return 412, {"end": end}
            if "producer" in query:
                epoch, sequence = int(query["epoch"]), int(query["sequence"])
                state = partition.producers.setdefault(query["producer"], {"epoch": -1, "next": 0, "last": deque(maxlen=5)})
                if epoch < state["epoch"]:
                    return 409, {"reason": "fenced"}
                if epoch > state["epoch"]:
                    state.update(epoch=epoch, next=sequence)
                    state["last"].clear()
                for known, answer in state["last"]:
                    if known == sequence:
                        return 200, answer
                if sequence != state["next"]:
                    return 409, {"reason": "seq", "sequence": state["next"]}
                state["next"] = sequence + 1
                state["last"].append((sequence, {"offset": end, "end": end + len(records)}))
            for record in records:
                partition.add(record)
            partition.wake()
            return 200, {"offset": end, "end": end + len(records)}

    async def read(self, query):
        partition, start = self.partition(query["topic"], query["part"]), int(query["from"])
        wait, most = int(query.get("wait_ms", 0)) / 1000, int(query.get("max_kb", 1024)) * 1024
        until = time.monotonic() + wait
        while len(partition.records) <= start and (left := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(partition.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        out, size = [], 0
        for record in partition.records[start:]:
            if out and size + len(record) > most:
                break
            out.append(len(record).to_bytes(4, "big") + record)
            size += len(record) + 4
        return 200, len(partition.records).to_bytes(8, "big") + (0).to_bytes(8, "big") + b"".join(out)

    def newest(self, query):
        partition, after = self.partition(query["topic"], query["part"]), query.get("after", "")
        keys = sorted(key for key in partition.newest if key > after)
        page, size = [], 0
        for key in keys[:500]:
            value, offset = partition.newest[key]
            if page and size + len(value) > 1_000_000:
                break
            page.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
            size += len(value)
        return 200, {"items": page, "more_pages": len(page) < len(keys), "end": len(partition.records)}


class Gang:
    """One run of a gang: its members work from the moment when all are there with the same checkpoint."""

    CHECKPOINT_S = 0.5
    WAIT_S = 3.0

    def __init__(self, size, work):
        self.size, self.work, self.members, self.since, self.base = size, work, {}, None, 0.0

    def join(self, minion, run):
        self.members[run["task"]] = (minion, run)
        checkpoints = {member["checkpoint"] for _, member in self.members.values()}
        if len(self.members) < self.size or len(checkpoints) > 1:
            return
        self.base, self.since = int(run["checkpoint"] or 0) / 1000, time.monotonic()
        left = max(0.05, self.work - self.base)
        for other, member in self.members.values():
            member["timer"].cancel()
            member["timer"] = asyncio.get_running_loop().call_later(left, other.finish, member["task"], member["run"], "done")

    def saved(self, run, exact=False):
        if self.since is None:
            return run["checkpoint"]
        work = self.base + time.monotonic() - self.since
        if not exact:
            work -= work % self.CHECKPOINT_S
        return f"{int(work * 1000):08d}"

    def leave(self, task, kind):
        """A member has ended. If it isn't done, the others that were at work end `broken`."""
        self.members.pop(task, None)
        if kind != "done" and self.since is not None:
            for minion, run in list(self.members.values()):
                minion.finish(run["task"], run["run"], "broken")


GANGS = {}


class Minion:
    """One machine of a service. The text of a job says how its tasks go: `ms=200 fail` runs 200 ms and fails."""

    def __init__(self, store, record, service, number, cpu=32_000, mem_mb=131_072, fails=False, rack="r1"):
        self.store, self.record, self.service, self.number = store, record, service, number
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpus": 0}
        self.labels, self.machine, self.fails = ["a", rack], f"m-{number}", fails
        self.starts, self.up, self.boot, self.beat_task = [], False, 0, None
        self.quiet, self.port, self.policy = False, 0, None
        self.runs, self.used, self.ended, self.id = {}, 0, [], None

    async def power_on(self):
        self.boot += 1
        self.id = f"i-{self.number:02d}-{self.boot}"
        self.born, self.zero = int(time.time() * 1000), time.monotonic() - random.uniform(100, 500)
        self.token, self.runs, self.ended, self.next_end = 0, {}, [], 1
        self.past, self.sequence, self.ends, self.used = {}, 0, asyncio.Event(), 0
        self.server = await HttpServer(self.handle, self.port).start()
        self.port, self.up = self.server.port, True
        self.beat_task = asyncio.ensure_future(self.beats())

    def crash(self):
        """The process ends: nothing runs any more, and the channels are reset."""
        self.up = False
        self.beat_task.cancel()
        self.server.stop()
        for run in self.runs.values():
            run["timer"].cancel()
            if run["lease"]:
                run["lease"].cancel()
            self.note("run_lost", task=run["task"], run=run["run"])
        lost, self.runs = self.runs, {}
        for run in lost.values():
            if run["gang"]:
                run["gang"].leave(run["task"], "crashed")
        gone = self.id
        asyncio.get_running_loop().call_later(4.5, lambda: self.store.put("keyed.servers", gone, None))

    async def beats(self):
        while True:
            self.sequence += 1
            self.store.put("keyed.servers", self.id, {
                "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "z1", "version": "v1", "slots": 8,
                "state": "ready", "cold_left_ms": 0, "capacity": self.capacity, "labels": self.labels,
                "clock_ms": self.clock(), "sequence": self.sequence, "born": self.born})
            await asyncio.sleep(1.5)

    def clock(self):
        return int((time.monotonic() - self.zero) * 1000)

    def note(self, kind, **fields):
        if not self.quiet:
            log_line(self.record, kind, minion=self.id, **fields)

    def answer(self, status, **fields):
        return status, {"clock_ms": self.clock(), "born": self.born, **fields}

    async def handle(self, method, path, query, headers, body):
        name = path.rsplit("/", 1)[-1]
        if method == "GET":
            return 200, b""
        if headers.get("x-target-instance", self.id) != self.id:
            return self.answer(421)
        call = json.loads(body)
        if call.get("fencing_token", 0) < self.token:
            return self.answer(409, reason="fence")
        self.token = call.get("fencing_token", 0)
        if name == "run-start":
            return self.start(call)
        if name == "run-stop":
            return self.stop(call)
        if name == "hold":
            return await self.hold(call)
        if name == "pace":
            return self.answer(200)
        return self.answer(400)

    def start(self, call):
        task, number = call["task"], call["run"]
        known = self.runs.get(task)
        if known and known["run"] == number:
            return self.answer(200)
        if number <= self.past.get(task, 0) or known:
            self.extend(call)
            return self.answer(409, reason="old")
        if call["deadline_ms"] <= self.clock():
            return self.answer(409, reason="late")
        if self.policy and "ticketed" in call["spec"].split():
            if call.get("ticket") != self.policy.ticket(task.rpartition(".")[0], self):
                return self.answer(409, reason="ticket")
        words = dict(word.partition("=")[::2] for word in call["spec"].split())
        cpu = int(words.get("cpu", 100))
        if self.used + cpu > self.capacity["cpu"]:
            self.extend(call)
            return self.answer(409, reason="room")
        fails = self.fails or "fail" in words
        work = int(words.get("fail_ms" if fails and "fail_ms" in words else "ms", 200)) / 1000
        loop = asyncio.get_running_loop()
        run = {"task": task, "run": number, "cpu": cpu, "since": time.monotonic(), "work": work, "lease": None, "end": 0,
               "checkpoint": call.get("checkpoint", ""), "gang": None}
        kind = "failed" if fails else "done"
        if words.get("lasts"):
            run["timer"] = loop.call_later(3600, lambda: None)
            run["work"] = 0.5
        elif "gang" in words:
            key = (task.rpartition(".")[0], number)
            run["gang"] = GANGS.setdefault(key, Gang(int(words["gang"]), work))
            run["timer"] = loop.call_later(Gang.WAIT_S, self.finish, task, number, "alone")
        else:
            run["timer"] = loop.call_later(work, self.finish, task, number, kind)
        self.runs[task] = run
        self.used += cpu
        self.starts.append((time.monotonic(), task, number))
        self.note("start", task=task, run=number, token=self.token, checkpoint=run["checkpoint"])
        self.extend(call)
        if run["gang"]:
            run["gang"].join(self, run)
        return self.answer(200)

    def stop(self, call):
        task, number = call["task"], call["run"]
        self.past[task] = max(self.past.get(task, 0), number)
        run = self.runs.get(task)
        if run and run["run"] <= number:
            self.note("stop", task=task, run=number, at_work=time.monotonic() - run["since"] > run["work"])
            run["timer"].cancel()
            asyncio.get_running_loop().call_later(0.2, self.finish, task, run["run"], "stopped")
        return self.answer(200)

    def finish(self, task, number, kind):
        run = self.runs.get(task)
        if not run or run["run"] != number:
            return
        del self.runs[task]
        run["timer"].cancel()
        if run["lease"]:
            run["lease"].cancel()
        self.used -= run["cpu"]
        self.past[task] = max(self.past.get(task, 0), number)
        saved = run["gang"].saved(run, exact=kind == "stopped") if run["gang"] else ""
        self.ended.append([self.next_end, task, number, kind, saved])
        self.next_end += 1
        self.note("end", task=task, run=number, how=kind, saved=saved)
        if run["gang"]:
            run["gang"].leave(task, kind)
        self.ends.set()
        self.ends = asyncio.Event()

    def extend(self, call):
        deadline = call.get("deadline_ms", 0)
        if not deadline:
            return
        deadline = min(deadline, self.clock() + 10_000)
        for run in self.runs.values():
            if deadline > run["end"]:
                run["end"] = deadline
                if run["lease"]:
                    run["lease"].cancel()
                left = max(0, deadline - self.clock()) / 1000
                run["lease"] = asyncio.get_running_loop().call_later(left, self.finish, run["task"], run["run"], "lapsed")

    async def hold(self, call):
        seen = call.get("last_seen", 0)
        if self.ended and seen >= self.ended[0][0]:
            self.ended = [row for row in self.ended if row[0] > seen]
        self.extend(call)
        wait = min(call.get("wait_ms", 0), 2000) / 1000
        if wait and not self.ended:
            try:
                await asyncio.wait_for(self.ends.wait(), wait)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        percent = lambda run: min(100, int(100 * (now - run["since"]) / max(run["work"], 0.001)))
        saved = lambda run: run["gang"].saved(run) if run["gang"] else ""
        running = [[run["task"], run["run"], saved(run), percent(run), 0] for run in self.runs.values()]
        return self.answer(200, running=running, ended=self.ended[:500])


class Cloud:
    """The platform's list of machines, and their moves between pools. Machines of the spare pool are off."""

    def __init__(self, minions, record=None, spare=None):
        self.minions, self.record, self.spare, self.tokens, self.moving = minions, record, spare, {}, set()

    def row(self, minion):
        state = "moving" if minion.machine in self.moving else "up" if minion.up or minion.service == self.spare else "down"
        return {"machine": minion.machine, "pool": minion.service, "state": state, "zone": "z1", "labels": minion.labels,
                "capacity": minion.capacity, **({"id": minion.id} if minion.up else {})}

    async def handle(self, method, path, query, headers, body):
        if method == "GET":
            return 200, {"machines": [self.row(minion) for minion in self.minions], "next_token": None}
        call = json.loads(body)
        minion = next((m for m in self.minions if m.machine == call["machine"]), None)
        if not path.endswith("machine-move") or minion is None:
            return 400, {}
        token = int(headers.get("x-fencing-token", 0))
        if token < self.tokens.get(minion.machine, 0):
            return 409, {"reason": "fence"}
        self.tokens[minion.machine] = token
        if minion.machine in self.moving:
            return 409, {"reason": "busy"}
        if minion.service != call["pool"]:
            log_line(self.record, "move", machine=minion.machine, source=minion.service, to=call["pool"], runs=len(minion.runs))
            if minion.up:
                minion.crash()
            self.moving.add(minion.machine)
            minion.service = call["pool"]
            asyncio.ensure_future(self.arrive(minion))
        return 200, {}

    async def arrive(self, minion):
        await asyncio.sleep(1.5)
        self.moving.discard(minion.machine)
        if minion.service != self.spare:
            await minion.power_on()


class Policy:
    """The service that knows which minions may run a step of a queue with `advice`. `allowed` holds machines."""

    DECIDE_S, EACH_S, VALID_MS = 0.02, 0.001, 3000

    def __init__(self, record, minions, allowed):
        self.record, self.minions, self.allowed, self.turn = record, minions, allowed, asyncio.Lock()

    def ticket(self, step, minion):
        return f"{step}-{minion.id}"

    async def handle(self, method, path, query, headers, body):
        call = json.loads(body)
        if len(call["workers"]) > 100:
            return 400, {}
        async with self.turn:
            await asyncio.sleep(self.DECIDE_S + self.EACH_S * len(call["workers"]))
        good = [[m.id, self.ticket(call["step"], m)] for m in self.minions
                if m.up and m.id in call["workers"] and m.machine in self.allowed]
        log_line(self.record, "advice", step=call["step"], named=len(call["workers"]), good=good)
        return 200, {"good": good, "valid_ms": self.VALID_MS}


SETTINGS = """node = "front-z1-{n}"
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "z1"
region = "r"
port_range = [{peer}, {peer}]
seeds = []
bootstrap = true
counts_for_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform", "upkeep", "sharing"]
orders = "push"
advice = "{advice}"
[zones]
z1 = "r"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = {memory_mb}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
max_hold_ms = 10000
stop_ms = 400
gang_wait_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = {status_s}
checkpoint_s = 0.5
restore_ms = 600
notice_ms = 4500
move_s = 1.5
upkeep_s = 2
require_fencing = true
lease_ms = 3000
[platform]
address = "127.0.0.1:{store}"
form = "log"
writes_per_s = 600
reads_per_s = 2000
parts = 12
append_ms = 2.0
part_bw_s = 20.0
read_bw_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
[cloud_api]
address = "127.0.0.1:{cloud}"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
"""


class Node:
    """An entry node: the project's daemon as a process of its own."""

    def __init__(self, number, folder, store_port, cloud_port, memory_mb=260, status_s=120, advice=""):
        self.number, self.folder, self.process = number, folder, None
        self.front, self.ready, self.metrics, self.peer = (free_port() for _ in range(4))
        self.file, self.log = folder / f"node-{number}.toml", folder / f"node-{number}.log"
        self.memory_mb, self.ends = memory_mb, []
        self.file.write_text(SETTINGS.format(n=number, front=self.front, ready=self.ready, peer=self.peer,
                                             store=store_port, cloud=cloud_port, memory_mb=memory_mb, status_s=status_s,
                                             advice=advice))

    def start(self):
        # The command of deploy/system.toml; the settings file is named by the variable, as on the platform.
        command = [str(BINARY), "--metrics-port", str(self.metrics)]
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["COPPERJUNCTION_SETTINGS"] = str(self.file)
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=open(self.log, "ab"), stderr=subprocess.STDOUT)

    def send(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def rss_mb(self):
        try:
            for line in open(f"/proc/{self.process.pid}/status"):
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0


class Client:
    """A client of the system. Each call uses a new channel to the node that the ingress chose."""

    def __init__(self, record, host="jobs.example"):
        self.record, self.host = record, host

    async def call(self, node, method, path, value=None, timeout=3.0, quiet=False):
        sent = time.monotonic()
        body = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
        head = (f"{method} {path} HTTP/1.1\r\nHost: {self.host}\r\nX-Deadline-Ms: {int(timeout * 1000)}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n")
        status, answer, writer = None, b"", None
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection("127.0.0.1", node.front)
                writer.write(head.encode() + body)
                await writer.drain()
                message = await read_message(reader)
                if message:
                    status, answer = int(message[0].split(" ")[1]), message[2]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if writer:
                writer.close()
        try:
            parsed = json.loads(answer) if answer else None
        except ValueError:
            parsed = None
        if not quiet:
            log_line(self.record, "call", node=node.number, method=method, path=path, status=status, answer=parsed,
                     took_ms=round((time.monotonic() - sent) * 1000))
        return status, parsed


def config(routes, services, version=1, advised=(), spare=None):
    """The operator's config; the queues named in `advised` need advice."""
    advice = {"decide_ms": 20, "each_ms": 1, "valid_ms": 3000}
    return {"version": version, "limits": {},
            "routes": [{"name": f"r-{name}", "host": "jobs.example", "path_prefix": f"/{name}/", "kind": "unsafe",
                        "timeout_ms": 3000, "target_latency_ms": 600, "priority": 0, "service": service,
                        "max_attempts": attempts, "stretch": 1.6,
                        **({"advice": advice} if name in advised else {})} for name, service, attempts in routes],
            "services": [{"name": name, "rejects_overload": True, **({"spare": True} if name == spare else {})}
                         for name in services]}


class World:
    """A small deployment: the stand-ins and `nodes` entry nodes."""

    def __init__(self, folder, record, nodes=3, memory_mb=260, status_s=120):
        self.folder, self.record, self.count, self.memory_mb = folder, record, nodes, memory_mb
        self.status_s, self.policy, self.advice, self.spare = status_s, None, "", None
        self.store, self.minions, self.nodes, self.links = Store(), [], [], []

    def add_minions(self, service, count, **options):
        first = len(self.minions)
        added = [Minion(self.store, self.record, service, first + n, **options) for n in range(count)]
        self.minions.extend(added)
        return added

    async def start(self, operator_config):
        self.store.put("keyed.op", "config", operator_config)
        self.store_server = await HttpServer(self.store.handle).start()
        self.cloud_server = await HttpServer(Cloud(self.minions, self.record, self.spare).handle).start()
        if self.policy:
            self.advice = f"127.0.0.1:{(await HttpServer(self.policy.handle).start()).port}"
        for minion in self.minions:
            minion.policy = self.policy
            if minion.service != self.spare:
                await minion.power_on()
        for number in range(1, self.count + 1):
            link = await Link(self.store_server.port).start()
            self.links.append(link)
            self.nodes.append(Node(number, self.folder, link.port, self.cloud_server.port, self.memory_mb,
                                   self.status_s, self.advice))
        for node in self.nodes:
            node.start()

    def kill(self):
        """Ends all processes that this world started."""
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()

    def owner(self):
        """The node that owns the fleet, by its last record in the store."""
        value, _ = self.store.partition("keyed.jobs").newest.get("owner", (b"", 0))
        for node in self.nodes:
            if f"front-z1-{node.number}".encode() in value:
                return node
        return None

    async def is_ready(self, node):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", node.ready)
            writer.write(b"GET /copperjunction/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            message = await read_message(reader)
            writer.close()
            return bool(message) and " 200 " in message[0]
        except OSError:
            return False

    async def ready(self, limit=20):
        """Waits until all nodes are ready and one of them owns the fleet."""
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if self.owner() and all([await self.is_ready(node) for node in self.nodes]):
                await asyncio.sleep(2)
                return True
            await asyncio.sleep(0.1)
        return False
