"""A worker's second answer to one request arrives late, where the answer to
the next request on that channel is due. Its Request-Id tells whose it is."""
import asyncio
import functools
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from site_standins import (  # noqa: E402
    Garble, Store, Vm, answer, config, entry, read_message, request, route,
    run, serve)

REQUESTS = 400
# The site file's "extra late": share 0.6 of the workers (here w-1 of two), x
# 0.03 of their answers, for 5.0 s; here several times, with a pause between.
SHARE_X, FOR_S, PAUSE_S = 0.03, 5.0, 1.0
# With EMPTY_FIELD=0 the worker leaves out the field without a value.
EMPTY_FIELD = os.environ.get("EMPTY_FIELD", "1") != "0"


async def case(record, scratch):
    ran = {}
    answered = {"w-1": 0, "w-2": 0}
    garble = Garble(SHARE_X, FOR_S, PAUSE_S)

    async def work(name, reader, writer):
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
            ran[number] = ran.get(number, 0) + 1
            answered[name] += 1
            record("%s runs %s" % (name, number))
            if late:
                record("%s sends its second answer late, before that" % name)
                writer.write(late)
                await writer.drain()
                await asyncio.sleep(0.005)
            fields = [("Content-Type", "text/plain")]
            if EMPTY_FIELD:
                fields.append(("Cache-Status", ""))
            fields += [("Request-Id", number), ("Server-Seal", "seal-" + number)]
            whole = answer(200, fields, b"result of " + number.encode(), "OK")
            writer.write(whole)
            await writer.drain()
            late = b""
            if name == "w-1" and garble.extra():
                garble.sent_twice()
                late = whole

    store = Store()
    await store.start()
    servers = {name: await serve(functools.partial(work, name))
               for name in answered}
    await store.put("op", "config", config(1, [
        route("pay", "/pay/", "app", "non_idempotent")]))
    for name, (_, port) in servers.items():
        await store.put("servers", name, entry("app", port))
    vms = [Vm("vm-%d" % n, store, scratch) for n in (1, 2)]
    wrong = 0
    try:
        for vm in vms:
            await vm.start()
        for vm in vms:
            await vm.ready()
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", vms[0].callers)
        garble.start()
        for count in range(REQUESTS):
            number = "%016x" % (0xa000 + count)
            writer.write(request("POST", "/pay/x", number, b"amount"))
            reply = await asyncio.wait_for(read_message(reader), 5)
            record("client sent %s, got %r, Request-Id %r, seal %r, body %r" % (
                number, reply.first, reply.get("Request-Id"),
                reply.get("Server-Seal"), reply.body[:60]))
            status = int(reply.first.split(" ")[1])
            if status < 300 and reply.body != b"result of " + number.encode():
                wrong += 1
                record("MIXED: the answer belongs to another request")
            if reply.get("Connection").lower() == "close":
                writer.close()
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", vms[0].callers)
            await asyncio.sleep(0.01)
        writer.close()
    finally:
        for vm in vms:
            if hasattr(vm, "process"):
                await vm.stop()
        for server, _ in servers.values():
            server.close()
    print("%d of %d answers belong to another request" % (wrong, REQUESTS))
    return wrong == 0


run(case, FOLDER)
