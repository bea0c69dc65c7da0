"""A proxy that talks with its peers is replaced while it serves: `run` starts again beside it. The new process must not
end, and the proxy goes on serving."""
import asyncio
import os
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-2"))
from standins import *  # noqa: E402,F403


async def body(case):
    record = case.record
    members = [Member("s-%d" % i, record, zone="abc"[i], role="replica" if i else "primary") for i in range(3)]
    for member in members:
        await member.start()
    discovery = await Discovery(members).start()
    talk = free_port(socket.SOCK_DGRAM)
    xml = talk_settings(talk, [talk])
    old = Proxy(case, "n0", discovery, xml=xml, mgmt=free_port())
    await old.start().ready()

    served = {"served": 0, "other": 0}
    stop = asyncio.Event()

    async def load():
        while not stop.is_set():
            try:
                client = await Client(old).connect()
                kind, _ = await client.ask(statement(new_id(), "lookup", 1000))
                client.close()
                served["served" if kind == "served" else "other"] += 1
            except (OSError, asyncio.IncompleteReadError):
                served["other"] += 1
            await asyncio.sleep(0.02)

    loads = [asyncio.ensure_future(load()) for _ in range(4)]
    await asyncio.sleep(2)
    broken = False
    if TROUBLE:
        # The same addresses, the same $TMPDIR, a second address of its own.
        new = Proxy(case, "n0-new", discovery, xml=xml, listen=old.port, mgmt=free_port())
        new.config["name"] = "n0"
        new.start()
        end = now_ms() + 6000
        ready = False
        while now_ms() < end and new.process.poll() is None and not ready:
            ready = (await new.operator("health") or "").startswith("ok")
            await asyncio.sleep(0.05)
        if ready:
            old.process.terminate()
            try:
                await asyncio.wait_for(asyncio.to_thread(old.process.wait), 3.7)
            except asyncio.TimeoutError:
                old.process.kill()
            await asyncio.sleep(2)
        broken = new.process.poll() is not None
        record("new_process", ready=ready, exit_code=new.process.poll(), last_line=repr(new.last_line()))
        print("new process: ready=%s exit code=%s, its last line: %s" % (ready, new.process.poll(), new.last_line()))
    else:
        await asyncio.sleep(4)
    stop.set()
    await asyncio.wait(loads, timeout=5)
    record("result", served=served["served"], other=served["other"])
    if not served["served"]:
        raise NotRun("nothing was served")
    return BROKEN if broken else HELD


Case(os.path.dirname(os.path.abspath(__file__))).run(body)
