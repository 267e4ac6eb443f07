"""A worker rejects a request because it is full, and sends that rejection a
second time, late, where the answer to the next request on the channel is due.
That next request may run once; the worker runs it."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from site_standins import (  # noqa: E402
    Garble, Store, Vm, answer, config, entry, read_message, request, route,
    run, serve)

CLIENTS = 60
ROUNDS = 160
SLOTS, QUEUE = 6, 4     # "slots requests concurrently and queues a few more"
WORK_S = 0.03
# The site file's "extra late": share 0.6 of the workers (here w-1 of three), x
# 0.03 of their answers, for 5.0 s; here several times, with a pause between.
SHARE_X, FOR_S, PAUSE_S = 0.03, 5.0, 1.0
# EMPTY_FIELD=0: rejections without the field that has no value.
EMPTY_FIELD = os.environ.get("EMPTY_FIELD", "1") != "0"


class Worker:
    def __init__(self, name, record, ran):
        self.name, self.record, self.ran = name, record, ran
        self.answers = self.extras = self.inside = 0
        self.garble = Garble(SHARE_X, FOR_S, PAUSE_S)
        self.slots = asyncio.Semaphore(SLOTS)

    async def handle(self, reader, writer):
        late = b""
        while True:
            message = await read_message(reader)
            if message is None:
                return
            number = message.get("Request-Id")
            if not number:  # GET /report
                writer.write(answer(200, [], b"{}", "OK"))
                await writer.drain()
                late = b""
                continue
            self.answers += 1
            twice = self.name == "w-1" and self.garble.extra()
            if self.inside >= SLOTS + QUEUE:
                fields = [("Request-Id", number), ("Not-Executed", "1")]
                if EMPTY_FIELD:
                    fields.insert(0, ("Cache-Status", ""))
                whole = answer(503, fields, b"", "Service Unavailable")
                self.record("%s is full, rejects %s" % (self.name, number))
                writer.write(late + whole)
                await writer.drain()
                late = whole if twice and not late else b""
                if late:
                    self.garble.sent_twice()
                    self.extras += 1
                continue
            self.inside += 1
            try:
                async with self.slots:
                    self.ran.setdefault(number, []).append(self.name)
                    self.record("%s runs %s" % (self.name, number))
                    if late:
                        self.record("%s sends its rejection once more" %
                                    self.name)
                        writer.write(late)
                        await writer.drain()
                        late = b""
                    await asyncio.sleep(WORK_S)
            finally:
                self.inside -= 1
            writer.write(answer(200, [("Request-Id", number),
                                      ("Server-Seal", "seal-" + number)],
                                b"result of " + number.encode(), "OK"))
            await writer.drain()


async def case(record, scratch):
    ran = {}
    store = Store()
    await store.start()
    workers = [Worker("w-%d" % n, record, ran) for n in (1, 2, 3)]
    servers = [await serve(each.handle) for each in workers]
    await store.put("op", "config", config(1, [
        route("pay", "/pay/", "app", "non_idempotent")]))
    for worker, (_, port) in zip(workers, servers):
        await store.put("servers", worker.name, entry("app", port))
    vms = [Vm("vm-%d" % n, store, scratch) for n in (1, 2)]
    answers = {}

    async def client(index):
        reader = writer = None
        for turn in range(ROUNDS):
            number = "%08x%08x" % (0xb0 + index, turn)
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(
                        "127.0.0.1", vms[index % 2].callers)
                writer.write(request("POST", "/pay/x", number, b"amount"))
                reply = await asyncio.wait_for(read_message(reader), 5)
                status = reply.first.split(" ")[1] if reply else "closed"
                if not reply or reply.get("Connection").lower() == "close":
                    writer.close()
                    writer = None
            except (OSError, asyncio.TimeoutError,
                    asyncio.IncompleteReadError):
                status, writer = "broken", None
            answers[status] = answers.get(status, 0) + 1
            record("client %d sent %s: %s" % (index, number, status))
            await asyncio.sleep(0.02)

    try:
        for vm in vms:
            await vm.start()
        for vm in vms:
            await vm.ready()
        for worker in workers:
            worker.garble.start()
        await asyncio.gather(*[client(n) for n in range(CLIENTS)])
        await asyncio.sleep(0.3)
    finally:
        for vm in vms:
            if hasattr(vm, "process"):
                await vm.stop()
        for server, _ in servers:
            server.close()
    twice = {each: at for each, at in ran.items() if len(at) > 1}
    for number, at in sorted(twice.items()):
        record("TWICE: %s ran at %s" % (number, at))
    print("%d requests ran more than once; answers %s; %d of %d answers of "
          "w-1 sent a second time" % (
              len(twice), answers, workers[0].extras, workers[0].answers))
    return not twice


run(case, FOLDER)
