"""A pay-write is sent three times under one id. The first try never reached the primary; the second ran and its
connection broke, so that it was answered as failed. The third must be refused or failed, and not run."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-2"))
from standins import *  # noqa: E402,F403

PROXIES, WRITES = 2, 6
LEAVES_AFTER_MS, HANG_MS, NEWS_MS = 150, 500, 1500


async def body(case):
    record = case.record
    members = [Member("s-%d" % i, record, zone="abc"[i], role="replica" if i else "primary") for i in range(3)]
    for member in members:
        await member.start()
    primary, watched = members[0], set()
    primary.work_ms["pay-write"] = 250

    async def break_first_run(member, writer, comment, sql):
        """The connection is reset under the first run of each write that is watched."""
        if not TROUBLE or comment["id"] not in watched or comment["id"] in member.runs:
            return False
        member.note_run(comment["id"])
        await asyncio.sleep(0.01)
        record("member_reset", member=member.name, id=comment["id"])
        writer.transport.abort()
        return True

    primary.hook = break_first_run
    discovery = await Discovery(members).start()
    proxies = await talking_proxies(case, [discovery] * PROXIES)

    async def until_served(proxy):
        """Other clients' requests, until the proxy serves writes: it holds no grudge against the primary."""
        for _ in range(60):
            client = await Client(proxy).connect()
            await client.ask(statement(new_id(), "lookup", 1000))
            kind, _ = await client.ask(statement(new_id(), "pay-write", 2000))
            client.close()
            if kind == "served":
                return
            await asyncio.sleep(0.1)
        raise NotRun("%s serves no write" % proxy.name)

    tries = 0
    for k in range(WRITES):
        first, second = proxies[k % 2], proxies[(k + 1) % 2]
        await until_served(first)
        await until_served(second)
        await asyncio.sleep(0.8)  # the connections to the primary rest
        request = new_id()
        watched.add(request)
        sql = statement(request, "pay-write", 2000)
        # First try: the primary hangs, and the client leaves while the proxy waits for a connection to it.
        record("first_try", id=request)
        primary.hung = TROUBLE
        client = await Client(first).connect()
        await client.greet()
        client.send(sql)
        await asyncio.sleep(LEAVES_AFTER_MS / 1000)
        client.close()
        record("client_left", id=request, ran_so_far=primary.runs.get(request, 0))
        await asyncio.sleep((HANG_MS - LEAVES_AFTER_MS) / 1000)
        primary.hung = False
        # Second try, at the other proxy: it runs, and the connection is reset.
        await until_served(second)
        record("second_try", id=request)
        client = await Client(second).connect()
        kind, _ = await client.ask(sql)
        client.close()
        if TROUBLE and kind != "failed":
            record("round_void", why="second try was " + kind)
            continue
        await asyncio.sleep(NEWS_MS / 1000)
        # Third try: both proxies have served and heard each other since.
        await until_served(first)
        record("third_try", id=request)
        client = await Client(first).connect()
        await client.ask(sql)
        client.close()
        tries += 1
    twice = [request for request in watched if primary.runs.get(request, 0) > 1]
    record("result", writes=WRITES, third_tries=tries, ran_twice=len(twice))
    print("%d writes, %d third tries, %d ran twice" % (WRITES, tries, len(twice)))
    if not tries:
        raise NotRun("no second try was answered as failed")
    return BROKEN if twice else HELD


Case(os.path.dirname(os.path.abspath(__file__))).run(body)
