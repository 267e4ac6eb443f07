"""Stand-ins of the platform, the workers and the clients, on loopback.

The store and the workers follow PROTOCOL.md; the processes under test are
started with the commands and the settings template of the deploy file. Only
the standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
MAX_BODY = 4194304


def run_case(main):
    """Exits with the result of main(); a time-out still ends what it started."""
    async def guarded():
        task = asyncio.ensure_future(main())
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            return await task
        except asyncio.CancelledError:
            return 2
    sys.exit(asyncio.run(guarded()))


def free_port():
    """A free port below those that the kernel gives to outgoing connections."""
    while True:
        port = random.randint(21000, 31999)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


class Record:
    """Lines of record.txt, each with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """Returns the first line and the header fields; None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw[:-4].decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields.setdefault(name.lower(), value.strip())
    return lines[0], fields


async def read_body(reader, fields):
    """Reads a body with a length or in chunks."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


def response(status, fields, body=b""):
    head = f"HTTP/1.1 {status} X\r\n"
    for name, value in fields.items():
        head += f"{name}: {value}\r\n"
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Store:
    """The platform's metadata store: rows, transactions and the feed."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.port = free_port()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, limit=1 << 24)

    def put(self, table, part, key, value):
        self.version += 1
        self.rows[(table, part, key)] = (value, self.version)
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def put_json(self, table, key, content):
        self.put(table, "", key, base64.b64encode(json.dumps(content).encode()).decode())

    def drop(self, table, key):
        self.put(table, "", key, None)

    def show(self, at, row):
        (table, part, key), (value, version) = at, row
        shown = {"table": table, "part": part, "key": key, "ver": version}
        if value is None:
            shown["deleted"] = True
        else:
            shown["value"] = value
        return shown

    def status_body(self, **more):
        return {**more, "ver": self.version,
                "now_ms": int(time.monotonic() * 1000)}

    def transact(self, call):
        def row_of(each):
            return (each["table"], each.get("part", ""), each["key"])
        current = []
        sound = True
        for each in call.get("expected_rev", []):
            value, version = self.rows.get(row_of(each), (None, 0))
            if value is None:
                version = 0
            else:
                current.append(self.show(row_of(each), (value, version)))
            sound = sound and version == each["ver"]
        if not sound:
            return 412, self.status_body(rows=current)
        self.version += 1
        for each in call.get("put", []):
            self.rows[row_of(each)] = (each["value"], self.version)
        for each in call.get("delete", []):
            self.rows[row_of(each)] = (None, self.version)
        event, self.changed = self.changed, asyncio.Event()
        event.set()
        return 200, self.status_body()

    def read(self, args):
        found = sorted(
            (at, row) for at, row in self.rows.items()
            if at[0] == args["table"] and at[1] == args.get("part", "")
            and row[0] is not None and at[2] >= args.get("from", "")
            and ("to" not in args or at[2] < args["to"]))
        limit = min(int(args.get("limit", 500)), 500)
        return 200, self.status_body(
            rows=[self.show(*each) for each in found[:limit]],
            truncated=len(found) > limit)

    async def feed(self, args):
        until = time.monotonic() + int(args.get("wait_ms", 0)) / 1000
        while True:
            event = self.changed
            found = sorted(
                ((at, row) for at, row in self.rows.items()
                 if at[0] == args["table"] and row[1] > int(args["after"])),
                key=lambda each: each[1][1])
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, self.status_body(
                    rows=[self.show(*each) for each in found])
            try:
                await asyncio.wait_for(event.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def serve(self, reader, writer):
        from urllib.parse import parse_qsl, urlsplit
        try:
            while head := await read_head(reader):
                first, fields = head
                body = await read_body(reader, fields)
                method, target, _ = first.split(" ", 2)
                parts = urlsplit(target)
                args = dict(parse_qsl(parts.query, keep_blank_values=True))
                await asyncio.sleep(0.004)
                if parts.path == "/rows-tx":
                    status, answer = self.transact(json.loads(body))
                elif parts.path == "/rows-get":
                    status, answer = self.read(args)
                elif parts.path == "/rows-feed":
                    status, answer = await self.feed(args)
                else:
                    status, answer = 404, {}
                writer.write(response(status, {"Content-Type": "application/json"},
                                      json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Worker:
    """A worker of a plain service: runs requests and seals its answers."""

    def __init__(self, site, name, service, slots=6):
        self.site = site
        self.id = name
        self.service = service
        self.slots = slots
        self.port = free_port()
        self.runs = []
        self.work_s = 0.03
        # Whether each run gets a line in the record.
        self.logs = True
        self.sequence = 0

    async def start(self):
        # A small buffer, so that a worker that reads slowly keeps its sender.
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, limit=1 << 16)
        self.list()

    def list(self, state="ready"):
        self.sequence += 1
        self.site.store.put_json("servers", self.id, {
            "service": self.service, "address": f"127.0.0.1:{self.port}",
            "zone": "zone-a", "version": "v1", "slots": self.slots,
            "state": state, "cold_left_ms": 0, "sequence": self.sequence,
            "models": []})

    async def read_request(self, reader, fields):
        """Returns the length of the body; None if the channel ended in it."""
        size = int(fields.get("content-length", "0"))
        left = size
        while left > 0:
            piece = await reader.read(min(1 << 17, left))
            if not piece:
                return None
            left -= len(piece)
        return size

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                first, fields = head
                size = await self.read_request(reader, fields)
                if size is None:
                    return
                await self.answer(first, fields, size, writer)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, first, fields, size, writer):
        request = fields.get("request-id", "")
        if fields.get("target-instance", self.id) != self.id:
            writer.write(response(421, {"Instance-Id": self.id}))
            return
        self.runs.append((request, first, size))
        if self.logs:
            self.site.record.line(f"worker {self.id} runs {request} {first} "
                                  f"body {size}")
        await asyncio.sleep(self.work_s)
        writer.write(response(200, {"Request-Id": request,
                                    "Server-Seal": f"{self.id}.{request}"},
                              b"done " + request.encode()))


class Vm:
    """One process of the role in the deploy file, with its settings."""

    def __init__(self, site, number, memory_mb):
        self.site = site
        self.name = f"front-zone-a-{number}"
        self.memory_mb = memory_mb
        self.ports = {name: free_port() for name in
                      ("front", "ready", "control", "low", "high")}
        self.process = None

    def settings(self):
        fields = {
            "node_name": self.name, "zone": "zone-a", "ip": "127.0.0.1",
            "listen.front": f"127.0.0.1:{self.ports['front']}",
            "listen.ready": f"127.0.0.1:{self.ports['ready']}",
            "port_range.0": self.ports["low"], "port_range.1": self.ports["high"],
            "platform.address": f"127.0.0.1:{self.site.store.port}",
            "heartbeat_ms": 1200, "limits.cpu_share": 0.25,
            "limits.memory_mb": self.memory_mb, "bounds.lease_ms": 3000,
            "bounds.version_ms": 5000, "bounds.drain_ms": 2000,
            "bounds.config_ms": 2000, "bounds.grace_s": 8,
            "bounds.budget_ratio": 0.2, "bounds.budget_slack": 54,
            "bounds.budget_window_s": 10}
        with open(os.path.join(ROOT, "platform/settings.json.template"),
                  encoding="utf-8") as file:
            text = file.read()

        def section(match):
            return match.group(2) if match.group(1) in fields else ""
        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text,
                      flags=re.S)
        return re.sub(r"\{\{([\w.]+)\}\}",
                      lambda match: str(fields[match.group(1)]), text)

    async def start(self):
        path = os.path.join(self.site.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
            run = re.search(r'^run = "(.*)"', file.read(), re.M).group(1).split()
        log = open(os.path.join(self.site.folder, self.name + ".log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["MULBERRYFORD_NODE_FILE"] = path
        self.process = await asyncio.create_subprocess_exec(
            *run, cwd=ROOT, env=environment, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL)
        log.close()
        self.site.record.line(f"{self.name} starts")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ports["ready"])
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False

    async def await_ready(self, timeout=20):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


class Site:
    """The store, the workers and the VMs of one small deployment."""

    def __init__(self, record, vms=3, memory_mb=260):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.workers = []
        self.vms = [Vm(self, number, memory_mb) for number in range(1, vms + 1)]

    async def start(self, config, workers):
        await self.store.start()
        self.store.put_json("op", "config", config)
        self.workers = workers
        for each in workers:
            await each.start()
        for each in self.vms:
            await each.start()
        self.beats = asyncio.ensure_future(self.beat())
        return all([await each.await_ready() for each in self.vms])

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            for each in self.workers:
                each.list()

    async def stop(self):
        if hasattr(self, "beats"):
            self.beats.cancel()
        for each in self.vms:
            if each.process and each.process.returncode is None:
                each.process.kill()
                await each.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def config(routes, services, version=1):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": MAX_BODY,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def route(name, kind, service, timeout_ms, attempts=1, **more):
    return {"name": name, "host": "site.example", "prefix": f"/{name}/",
            "route_kind": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": 150, "priority": 2, "service": service,
            "max_attempts": attempts, **more}


def request_text(path, request, deadline_ms, size, method="POST", fields=""):
    return (f"{method} {path} HTTP/1.1\r\nHost: site.example\r\n"
            f"Request-Id: {request}\r\nDeadline-Ms: {deadline_ms}\r\n{fields}"
            f"Content-Length: {size}\r\n\r\n").encode()


async def read_answer(reader):
    """Returns status, fields and body; None if the channel ends before."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        body = await read_body(reader, head[1])
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        return None
    return int(head[0].split(" ")[1]), head[1], body


class Engine(Worker):
    """An engine worker that holds one base model and streams three events."""

    def __init__(self, site, name, service, model="m0", slots=64):
        super().__init__(site, name, service, slots)
        self.model = model

    def list(self, state="ready"):
        self.sequence += 1
        self.site.store.put_json("servers", self.id, {
            "service": self.service, "address": f"127.0.0.1:{self.port}",
            "zone": "zone-a", "version": "v1", "slots": self.slots,
            "state": state, "cold_left_ms": 0, "sequence": 0,
            "stage": "prefill_decode",
            "models": [{"name": self.model, "version": 1, "adapters": []}]})

    async def answer(self, first, fields, size, writer):
        if first.startswith("GET /report"):
            report = {"stage": "prefill_decode", "busy": False, "sequence": 0,
                      "models": [{"name": self.model, "version": 1,
                                  "adapters": []}],
                      "waiting": 0, "running": 0, "kv_used": 0,
                      "kv_total": 232000, "handles": 0}
            writer.write(response(200, {"Content-Type": "application/json"},
                                  json.dumps(report).encode()))
            return
        request = fields.get("request-id", "")
        if fields.get("target-instance", self.id) != self.id:
            writer.write(response(421, {"Instance-Id": self.id}))
            return
        self.runs.append((request, first, size))
        self.site.record.line(f"worker {self.id} runs {request} body {size}")
        writer.write((f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n"
                      f"Server-Seal: {self.id}.{request}\r\n"
                      "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(1, 4):
            await asyncio.sleep(0.02)
            event = f"id: {number}\ndata: {request}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
