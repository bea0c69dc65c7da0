"""Slow clients read values of 4 MiB, asked for two at a time, while others slowly write values of 64 KiB. The proxy must
stay within `memory_mb`; the platform kills it where it does not.

Members, readers and writers are processes of their own: `case.py members`, `case.py readers PORT`, `case.py writers PORT`.
"""
import asyncio
import json
import os
import random
import select
import socket
import struct
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-2"))
from standins import *  # noqa: E402,F403

MEMORY_MB = 32
READERS, AHEAD = 195, 2  # clients, and the commands that each sends at once
WRITERS = 140  # with the readers 335 clients: a third of 1,024 descriptors are 341
LONG = 4 * 1024 * 1024 if TROUBLE else 16 * 1024
PACE = 300_000 if TROUBLE else 100_000_000  # bytes a second of a reader: 14 s for a value
WRITTEN = 64 * 1024 if TROUBLE else 1024
WRITE_SECONDS = 1.8 if TROUBLE else 0.02  # for a statement, in pieces of 8 KiB
SECONDS = 40


# ---------------------------------------------------------------- members, with threads

class ThreadMember:
    """A member that answers each request with a long value, as fast as it is taken."""

    def __init__(self, name, group, zone, role, value):
        self.name, self.group, self.zone, self.role, self.value = name, group, zone, role, value
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def position(self):
        return now_ms() - (0 if self.role == "primary" else 8)

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = connection.makefile("rb")
        try:
            stream.read(struct.unpack(">I", stream.read(4))[0] - 4)
            connection.sendall(GREETING)
            while True:
                head = stream.read(5)
                if len(head) < 5:
                    return
                sql = stream.read(struct.unpack(">I", head[1:])[0] - 4)[:-1].decode()
                connection.sendall(self.answer(sql))
        except (OSError, struct.error):
            pass
        finally:
            connection.close()

    def answer(self, sql):
        status = parameter("role", self.role) + parameter("applied_ms", str(int(self.position()))) + READY
        if not sql.strip():
            return message(b"I", b"") + READY
        if sql == "SHOW load":
            report = "x0=%.6f,x1=%d,inflight=0,util=0.1" % (self.position() / 1000, self.role == "primary")
            return ROW_DESCRIPTION + row(report.encode()) + complete("SELECT 1") + READY
        time.sleep(0.02)
        if "INSERT" in sql:
            if self.role != "primary":
                return error("25006") + status
            return ROW_DESCRIPTION + row(b"written") + complete("INSERT 0 1") + status
        return ROW_DESCRIPTION + row(self.value) + complete("SELECT 1") + status


def members():
    value = os.urandom(LONG)
    running = [ThreadMember("s-%d%d" % (group, i), group, "abc"[i], "replica" if i else "primary", value)
               for group in (1, 2, 3) for i in range(3)]
    print(json.dumps([[m.name, m.group, m.zone, m.role, m.address] for m in running]), flush=True)
    time.sleep(SECONDS + 60)


# ---------------------------------------------------------------- clients

def readers(port):
    """Each asks for its values at once and reads at a steady pace."""
    open_clients, ends = {}, {}
    for i in range(READERS):
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        client.connect(("127.0.0.1", port))
        commands = [statement(new_id(), "run-report", 15000, group=1 + (i + k) % 3) for k in range(AHEAD)]
        client.sendall(STARTUP + b"".join(message(b"Q", sql.encode() + b"\0") for sql in commands))
        client.setblocking(False)
        open_clients[client] = [time.time(), 0]
    until = time.time() + SECONDS
    while open_clients and time.time() < until:
        select.select(list(open_clients), [], [], 0.05)
        for client, state in list(open_clients.items()):
            may_take = int((time.time() - state[0]) * PACE) - state[1]
            try:
                while may_take > 0:
                    piece = client.recv(min(may_take, 16384))
                    if not piece:
                        raise ConnectionError
                    state[1] += len(piece)
                    may_take -= len(piece)
                end = None
            except BlockingIOError:
                end = None
            except OSError:
                end = "cut_off"
            if end is None:
                if state[1] < AHEAD * LONG:
                    continue
                end = "whole"
            ends[end] = ends.get(end, 0) + 1
            del open_clients[client]
            client.close()
        time.sleep(0.02)
    print(json.dumps(dict(ends, left=len(open_clients))), flush=True)


def writers(port):
    """Each writes a value in pieces, again and again."""
    ends, lock = {}, threading.Lock()
    until = time.time() + SECONDS - 12

    def write():
        while time.time() < until:
            end = "closed_while_writing"
            try:
                with socket.create_connection(("127.0.0.1", port), timeout=5) as client:
                    key, value = random.randbytes(8).hex(), random.randbytes(WRITTEN).hex()
                    sql = ("/* id=%s,c=pay-write,d=2000,cluster=%d */ INSERT INTO entries (ref, payload) VALUES ('%s', '\\x%s') "
                           "RETURNING payload" % (random.randbytes(8).hex(), random.randint(1, 3), key, value))
                    command = STARTUP + message(b"Q", sql.encode() + b"\0")
                    for at in range(0, len(command), 8192):
                        client.sendall(command[at:at + 8192])
                        time.sleep(WRITE_SECONDS * 8192 / len(command))
                    end = "answered" if client.recv(65536) else "closed"
            except OSError:
                pass
            with lock:
                ends[end] = ends.get(end, 0) + 1
            time.sleep(0.2)

    threads = [threading.Thread(target=write, daemon=True) for _ in range(WRITERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(json.dumps(ends), flush=True)


# ---------------------------------------------------------------- the platform

def private_kb(pid):
    """Memory of the process's own: neither the program's file nor what the system holds for its sockets counts."""
    with open("/proc/%d/status" % pid) as status:
        return next(int(line.split()[1]) for line in status if line.startswith("RssAnon"))


class Listed:
    def __init__(self, name, group, zone, role, address):
        self.name, self.group, self.zone, self.role, self.address = name, group, zone, role, address


def helper(*arguments):
    return subprocess.Popen([sys.executable, os.path.abspath(__file__), *map(str, arguments)], stdout=subprocess.PIPE,
                            preexec_fn=die_with_parent)


async def body(case):
    record, started = case.record, []
    try:
        started.append(helper("members"))
        listed = [Listed(*entry) for entry in json.loads(await asyncio.to_thread(started[0].stdout.readline))]
        proxy = await Proxy(case, "n1", await Discovery(listed).start(), memory_mb=MEMORY_MB).start().ready()
        started += [helper("readers", proxy.port), helper("writers", proxy.port)]
        most, begin, over = 0, time.time(), False
        while not over and any(process.poll() is None for process in started[1:]):
            if proxy.process.poll() is not None:
                record("proxy_ended", code=proxy.process.returncode)
                return BROKEN
            held = private_kb(proxy.process.pid)
            if held > most + 512:
                record("memory", private_kb=held, limit_kb=MEMORY_MB * 1024)
            most, over = max(most, held), held > MEMORY_MB * 1024
            await asyncio.sleep(0.05)
        if over:
            record("killed_for_memory", private_kb=most, limit_kb=MEMORY_MB * 1024, after_s=round(time.time() - begin, 1))
            proxy.kill()
        else:
            for name, process in zip(("readers", "writers"), started[1:]):
                record(name, ends=process.stdout.read().decode().strip())
        print("most private memory: %d kB of %d kB" % (most, MEMORY_MB * 1024))
        record("result", most_private_kb=most, limit_kb=MEMORY_MB * 1024)
        return BROKEN if over else HELD
    finally:
        for process in started:
            process.kill()
            process.wait()


if len(sys.argv) > 1:
    {"members": members, "readers": readers, "writers": writers}[sys.argv[1]](*map(int, sys.argv[2:]))
else:
    Case(os.path.dirname(os.path.abspath(__file__))).run(body)
