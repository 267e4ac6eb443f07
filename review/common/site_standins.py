"""Small stand-ins of a deployment for the scripts of this review: the
platform's store, workers, VMs (the project's own program) and clients.
Everything listens on 127.0.0.1. Standard library only."""
import asyncio
import base64
import json
import os
import signal
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.environ.get(
    "MULBERRYD", os.path.join(ROOT, "target", "mulberryd"))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()


def now():
    return time.monotonic() - START


class Record:
    """record.txt: what was sent, answered and run, in order."""

    def __init__(self, folder):
        self.file = open(os.environ.get(
            "RECORD", os.path.join(folder, "record.txt")), "w")

    def __call__(self, text):
        self.file.write("%8.3f  %s\n" % (now(), text))
        self.file.flush()


class Message:
    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    first = await reader.readline()
    if not first:
        return None, None
    headers = []
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b"\n", b""):
            break
        key, _, value = line.decode("latin-1").partition(":")
        headers.append((key.strip(), value.strip()))
    return first.decode("latin-1").strip(), headers


async def read_message(reader):
    """One request, or one answer with a length or in chunks. A cut answer
    raises asyncio.IncompleteReadError."""
    first, headers = await read_head(reader)
    if first is None:
        return None
    message = Message(first, headers, b"")
    if message.get("Transfer-Encoding").lower() == "chunked":
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise asyncio.IncompleteReadError(line, None)
            size = int(line.strip() or b"0", 16)
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    elif message.get("Content-Length"):
        message.body = await reader.readexactly(
            int(message.get("Content-Length")))
    return message


def answer(status, headers, body=b"", reason="Status"):
    lines = ["HTTP/1.1 %d %s" % (status, reason)]
    lines += ["%s: %s" % each for each in headers]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def serve(handle, port=0, host="127.0.0.1"):
    async def connected(reader, writer):
        try:
            await handle(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connected, host, port, limit=1 << 20)
    return server, server.sockets[0].getsockname()[1]


class Store:
    """The metadata store: rows-tx, rows-get and rows-feed."""

    def __init__(self):
        self.rows, self.version = {}, 0
        self.changed = asyncio.Condition()

    async def start(self):
        self.server, self.port = await serve(self.handle)

    async def put(self, table, key, value):
        async with self.changed:
            self.version += 1
            self.rows[(table, "", key)] = (self.version, json.dumps(value))
            self.changed.notify_all()

    async def drop(self, table, key):
        async with self.changed:
            self.version += 1
            self.rows[(table, "", key)] = (self.version, None)
            self.changed.notify_all()

    @staticmethod
    def encode(where, row):
        table, part, key = where
        text = {"table": table, "part": part, "key": key, "ver": row[0]}
        if row[1] is None:
            text["deleted"] = True
        else:
            text["value"] = base64.b64encode(row[1].encode()).decode()
        return text

    def reply(self, rows):
        return {"rows": rows, "truncated": False, "ver": self.version,
                "now_ms": int(time.monotonic() * 1000)}

    async def handle(self, reader, writer):
        from urllib.parse import parse_qs, urlsplit
        while True:
            request = await read_message(reader)
            if request is None:
                return
            target = urlsplit(request.first.split(" ")[1])
            query = {k: v[0] for k, v in parse_qs(target.query).items()}
            status, body = 404, {}
            if target.path == "/rows-tx":
                status, body = await self.transact(json.loads(request.body))
            elif target.path == "/rows-get":
                status, body = 200, self.get(query)
            elif target.path == "/rows-feed":
                status, body = 200, await self.feed(query)
            writer.write(answer(
                status, [("Content-Type", "application/json")],
                json.dumps(body).encode()))
            await writer.drain()

    async def transact(self, body):
        def where(each):
            return each["table"], each.get("part", ""), each["key"]

        def value(text):
            return base64.b64decode(text).decode("latin-1")

        async with self.changed:
            current, holds = [], True
            for each in body.get("expected_rev") or []:
                row = self.rows.get(where(each), (0, None))
                known = row[0] if row[1] is not None else 0
                holds = holds and known == each["ver"]
                if row[1] is not None:
                    current.append(self.encode(where(each), row))
            if not holds:
                return 412, {"rows": current, "ver": self.version}
            self.version += 1
            for each in body.get("put") or []:
                self.rows[where(each)] = (
                    self.version, value(each["value"]))
            for each in body.get("delete") or []:
                self.rows[where(each)] = (self.version, None)
            self.changed.notify_all()
            return 200, {"ver": self.version,
                         "now_ms": int(time.monotonic() * 1000)}

    def get(self, query):
        rows = [self.encode(w, r) for w, r in sorted(self.rows.items())
                if w[0] == query["table"] and r[1] is not None
                and w[1] == query.get("part", "")
                and w[2] >= query.get("from", "")
                and ("to" not in query or w[2] < query["to"])]
        return self.reply(rows)

    async def feed(self, query):
        after = int(query.get("after", "0"))
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000

        def rows():
            found = [(r[0], w, r) for w, r in self.rows.items()
                     if w[0] == query["table"] and r[0] > after]
            return [self.encode(w, r) for _, w, r in sorted(found)]

        async with self.changed:
            while not rows():
                left = until - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
            return self.reply(rows())


def entry(service, port, zone="hcm-a", **more):
    """What a worker writes at servers/ID."""
    text = {"service": service, "address": "127.0.0.1:%d" % port,
            "zone": zone, "version": "v1", "slots": 6, "state": "ready",
            "cold_left_ms": 0, "sequence": 0}
    text.update(more)
    return text


def route(name, prefix, service, kind, timeout_ms=1000, **more):
    text = {"name": name, "host": "site.example", "prefix": prefix,
            "route_kind": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": 150, "priority": 2, "service": service,
            "max_attempts": 1}
    text.update(more)
    return text


def config(version, routes, services=("app",)):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/health",
                          "max_conns": 100, "protocol": "h1", "tls": False}
                         for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


class Garble:
    """How often a faulty worker sends an answer twice: inside windows of for_s
    seconds, and never more than the part x of the answers in a window."""

    def __init__(self, x, for_s, pause_s):
        self.x, self.for_s, self.pause_s = x, for_s, pause_s
        self.began = self.answers = self.extras = 0
        self.window = None

    def start(self):
        self.began = now()

    def extra(self):
        """Called for each answer; true if it is to be sent twice."""
        at = now() - self.began
        window = int(at // (self.for_s + self.pause_s))
        if window != self.window:
            self.window, self.answers, self.extras = window, 0, 0
        if at % (self.for_s + self.pause_s) >= self.for_s:
            return False
        self.answers += 1
        return TROUBLE and (self.extras + 1) <= self.x * self.answers

    def sent_twice(self):
        self.extras += 1


class Vm:
    """One process of the project, started as deploy/system.toml says, with
    platform/settings.json.template filled in for a small deployment."""

    def __init__(self, name, store, folder, zone="hcm-a"):
        self.name, self.folder = name, folder
        self.settings = {
            "vm": name, "domain": zone,
            "callers": "127.0.0.1:0", "readiness": "127.0.0.1:0",
            "peers": "127.0.0.1:0", "metrics": "127.0.0.1:0",
            "store_url": "http://127.0.0.1:%d" % store.port,
            "order_gap_ms": 3000, "release_bound_ms": 5000,
            "drain_bound_ms": 2000, "configuration_bound_ms": 2000,
            "stop_bound_s": 8, "processor_share": 0.25, "memory_mb": 260,
            "retry_ratio": 0.2, "retry_slack": 54, "retry_window_s": 10}

    async def start(self):
        path = os.path.join(self.folder, self.name + ".json")
        with open(path, "w") as file:
            json.dump(self.settings, file)
        self.log = open(os.path.join(self.folder, self.name + ".log"), "w")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "--relay", "--settings-variable",
            "MULBERRYFORD_NODE_FILE", cwd=ROOT,
            env={"MULBERRYFORD_NODE_FILE": path, "PATH": os.environ["PATH"]},
            stdout=asyncio.subprocess.PIPE, stderr=self.log)
        while True:
            line = (await self.process.stdout.readline()).decode()
            if not line:
                raise RuntimeError(self.name + " ended")
            if line.startswith("listening "):
                words = line.split()[1:]
                addresses = dict(zip(words[::2], words[1::2]))
                self.callers = int(addresses["callers"].rsplit(":", 1)[1])
                self.readiness = int(addresses["readiness"].rsplit(":", 1)[1])
                self.peers = int(addresses["peers"].rsplit(":", 1)[1])
                break
        self.reading = asyncio.ensure_future(self.copy_output())

    async def copy_output(self):
        while True:
            line = await self.process.stdout.readline()
            if not line:
                return
            self.log.write(line.decode("latin-1"))
            self.log.flush()

    async def ready(self, limit=20):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.readiness)
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: r\r\n\r\n")
                reply = await asyncio.wait_for(read_message(reader), 1)
                writer.close()
                if " 200" in reply.first:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(self.name + " isn't ready")

    def rss_mb(self):
        with open("/proc/%d/status" % self.process.pid) as file:
            for line in file:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        return 0

    async def stop(self):
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        await self.process.wait()


def request(method, path, number, body=b"", deadline_ms=1000, **headers):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: site.example",
             "Request-Id: " + number, "Deadline-Ms: %d" % deadline_ms]
    lines += ["%s: %s" % (k.replace("_", "-"), v)
              for k, v in headers.items()]
    if body or method != "GET":
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def run(case, folder, limit=110):
    """Runs case(record, temporary folder), which returns whether the rule
    held. Exits with 0, 1 or, where the case couldn't run, 2."""
    record = Record(folder)
    record("TROUBLE=%d" % TROUBLE)
    code = 2
    try:
        with tempfile.TemporaryDirectory() as scratch:
            held = asyncio.run(asyncio.wait_for(case(record, scratch), limit))
            code = 0 if held else 1
    except Exception as problem:  # the case couldn't run
        record("could not run: %r" % problem)
        print("could not run: %r" % problem)
    record("exit %d" % code)
    sys.exit(code)
