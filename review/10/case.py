"""A pay-write that may have run is sent once more by its client, at once, to another proxy that hears the first one. It
must be refused or failed there, and not run a second time.

By turns the client gives its try up and closes (the member takes longer than the try), or its try is answered as failed
(the connection to the member is reset under the write).
"""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-2"))
from standins import *  # noqa: E402,F403

PROXIES, WRITES = 3, 200
TRY_MS, SLOW_MS = 800, 1200  # a try is given up after 40% of the class's 2 s


async def body(case):
    record = case.record
    members = [Member("s-%d" % i, record, zone="abc"[i], role="replica" if i else "primary") for i in range(3)]
    for member in members:
        await member.start()
    primary = members[0]

    given_up = set()

    async def first_run(member, writer, comment, sql):
        """The primary runs the write. Its answer takes longer than the client's try, or the connection is reset."""
        if not TROUBLE or "INSERT" not in sql or comment["id"] in member.runs:
            return False
        commit = member.note_run(comment["id"])
        if comment["id"] in given_up:
            await asyncio.sleep(SLOW_MS / 1000)
            writer.write(ROW_DESCRIPTION + row(b"late") + complete("INSERT 0 1") + member.status(commit))
            return True
        await asyncio.sleep(0.005)
        record("member_reset", member=member.name, id=comment["id"])
        writer.transport.abort()
        return True

    primary.hook = first_run
    discovery = await Discovery(members).start()
    proxies = await talking_proxies(case, [discovery] * PROXIES)

    again = {"given_up": 0, "failed": 0}

    async def one_write(k):
        first, second = proxies[k % PROXIES], proxies[(k + 1) % PROXIES]
        # The client has an open connection to each of the two proxies.
        one, two = await Client(first).connect(), await Client(second).connect()
        await one.greet()
        await two.greet()
        request = new_id()
        sql = statement(request, "pay-write", 2000)
        if k % 2:
            given_up.add(request)
        answer = asyncio.ensure_future(one.ask(sql))
        await asyncio.wait([answer], timeout=TRY_MS / 1000 if k % 2 else 5)
        if not answer.done():
            again["given_up"] += 1
            one.writer.transport.abort()
            await two.ask(sql)
        elif answer.result()[0] == "failed":
            again["failed"] += 1
            await two.ask(sql)
        answer.cancel()
        one.close()
        two.close()

    for k in range(0, WRITES, 4):
        await asyncio.gather(*[one_write(k + i) for i in range(4)])
    twice = [request for request, times in primary.runs.items() if times > 1]
    after_give_up = len([request for request in twice if request in given_up])
    record("result", writes=WRITES, sent_again_after_give_up=again["given_up"], sent_again_after_failed=again["failed"],
           ran_twice_after_give_up=after_give_up, ran_twice_after_failed=len(twice) - after_give_up)
    print("%d writes; sent again at once: %s; ran twice: %d given up, %d failed" %
          (WRITES, again, after_give_up, len(twice) - after_give_up))
    if TROUBLE and not any(again.values()):
        raise NotRun("nothing was sent again")
    return BROKEN if twice else HELD


Case(os.path.dirname(os.path.abspath(__file__))).run(body)
