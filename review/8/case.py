"""Three proxies tell each other what members have applied. One of them is wrong about two replicas, which lag. The other
two must go on serving no read from data older than its class allows."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-2"))
from standins import *  # noqa: E402,F403

SECONDS, CLIENTS = 14, 4
LAG_FROM, LAG_FACTOR = 4.0, 10.0  # from then on replicas apply the log 10 times more slowly
BOUND_MS, SLACK_MS = 200, 50


async def body(case):
    record = case.record
    members = [Member("s-%d" % i, record, zone="abc"[i], role="replica" if i else "primary") for i in range(3)]
    for member in members:
        await member.start()
    primary, replicas = members[0], members[1:]
    # What the wrong proxy finds under the names of the two replicas: members of another database, which do not lag.
    others = {}
    quiet = lambda *args, **fields: None  # noqa: E731
    for replica in replicas:
        others[replica.name] = (await Member(replica.name, quiet, zone=replica.zone).start()).address
    discovery = await Discovery(members).start()
    wrong = await Discovery(members, others if TROUBLE else None).start()

    proxies = await talking_proxies(case, [discovery, discovery, wrong])
    judged = proxies[:2]

    start = now_ms()
    slow_from = start + LAG_FROM * 1000
    for replica in replicas:
        replica.position_of = lambda: (now_ms() - 8 if now_ms() < slow_from
                                       else slow_from - 8 + (now_ms() - slow_from) / LAG_FACTOR)
    needed, reads, stale = {}, [0], []

    async def check(member, writer, comment, sql):
        """Compares a read of a judged proxy's client with what the replica has applied."""
        if member.role != "primary" and comment["id"] in needed:
            after = needed[comment["id"]]
            least = after if after is not None else now_ms() - BOUND_MS - SLACK_MS
            reads[0] += 1
            if member.position() < least - 1:
                stale.append(comment["c"])
                record("STALE", member=member.name, id=comment["id"], c=comment["c"],
                       too_old_by_ms=round(least - member.position()))
        return False

    for replica in replicas:
        replica.hook = check

    async def clerk(proxy, n):
        """One session: a write, then reads of its own and look-ups."""
        client = await (await Client(proxy).connect()).greet()
        key = os.urandom(6).hex()
        while now_ms() < start + SECONDS * 1000:
            request = new_id()
            kind, _ = await client.ask(statement(request, "pay-write", 2000, key=key))
            commit = int(now_ms()) + 1 if kind == "served" else None
            for cls in ("lookup", "own-edit-read", "lookup", "own-edit-read"):
                await asyncio.sleep(0.12)
                if cls == "own-edit-read" and commit is None:
                    continue
                request = new_id()
                if proxy in judged:
                    needed[request] = commit if cls == "own-edit-read" else None
                await client.ask(statement(request, cls, 1000 if cls == "lookup" else 750, key=key,
                                           after=commit if cls == "own-edit-read" else None))
        client.close()

    await asyncio.gather(*[clerk(proxy, n) for proxy in proxies for n in range(CLIENTS)])
    record("result", reads_at_replicas=reads[0], stale_lookups=stale.count("lookup"),
           stale_own_edit_reads=stale.count("own-edit-read"))
    print("%d reads at replicas, %d of them stale (%d lookup, %d own-edit-read)" %
          (reads[0], len(stale), stale.count("lookup"), stale.count("own-edit-read")))
    if not reads[0]:
        raise NotRun("no read went to a replica")
    return BROKEN if stale else HELD


Case(os.path.dirname(os.path.abspath(__file__))).run(body)
