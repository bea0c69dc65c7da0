"""Stand-ins for the cases 6 to 10 of the review: database members, discovery, clients, and the platform that starts
proxies. Python's standard library only; everything listens on 127.0.0.1.

They follow PROTOCOL-wharfplank.md and DEPLOY-wharfplank.md; where a page is silent they behave like a sound member,
agent, client or platform.
"""
import asyncio
import ctypes
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not run; says nothing of the rule."""


def now_ms():
    return time.time() * 1000.0


# ---------------------------------------------------------------- record and end of a case

class Record:
    """The record of a case: one line an event, with the milliseconds since its start."""

    def __init__(self, path):
        self.start, self.file = time.time(), open(path, "w")

    def __call__(self, event, **fields):
        text = " ".join("%s=%s" % pair for pair in fields.items())
        self.file.write("%9.1f %s %s\n" % ((time.time() - self.start) * 1000, event, text))
        self.file.flush()


class Case:
    """Runs a case: `body(case)` is a coroutine that returns HELD or BROKEN. Ends all processes that it started."""

    def __init__(self, folder, limit=115):
        self.folder, self.limit = os.path.abspath(folder), limit
        self.record = Record(os.path.join(self.folder, "record.txt"))
        self.tmp = tempfile.mkdtemp(prefix="wharfplank-review-")
        self.proxies = []

    def run(self, body):
        code = NOT_RUN
        try:
            loop = asyncio.new_event_loop()
            code = loop.run_until_complete(asyncio.wait_for(body(self), self.limit))
        except (NotRun, asyncio.TimeoutError, OSError) as error:
            self.record("not_run", why=repr(error))
            print("not run:", repr(error))
        finally:
            for proxy in self.proxies:
                proxy.kill()
            shutil.rmtree(self.tmp, ignore_errors=True)
        self.record("end", trouble=int(TROUBLE), exit=code)
        print({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "not run"}[code], flush=True)
        os._exit(code)  # the stand-ins' tasks need no end of their own


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


# ---------------------------------------------------------------- PostgreSQL's wire

def message(tag, body):
    return tag + struct.pack(">I", len(body) + 4) + body


def text(value):
    return value.encode() + b"\0"


def parameter(name, value):
    return message(b"S", text(name) + text(value))


def row(value):
    return message(b"D", struct.pack(">HI", 1, len(value)) + value)


def complete(tag):
    return message(b"C", text(tag))


def error(code):
    return message(b"E", b"S" + text("ERROR") + b"C" + text(code) + b"M" + text("stand-in") + b"\0")


READY = message(b"Z", b"I")
ROW_DESCRIPTION = message(b"T", struct.pack(">H", 1) + text("payload") + struct.pack(">IHIhih", 0, 0, 17, -1, -1, 1))
GREETING = message(b"R", struct.pack(">I", 0)) + READY
_PARAMETERS = text("user") + text("web") + text("database") + text("orders") + b"\0"
STARTUP = struct.pack(">II", len(_PARAMETERS) + 8, 3 << 16) + _PARAMETERS


def comment_of(statement):
    """The names and values of a statement's comment."""
    found = re.search(r"/\*(.*?)\*/", statement)
    pairs = (pair.partition("=") for pair in found.group(1).split(","))
    return {name.strip(): value.strip() for name, _, value in pairs}


# ---------------------------------------------------------------- members

class Member:
    """A database member. A primary stands at the present; a replica is `lag_ms` behind, or where `position_of` says.

    `hook(member, writer, comment, statement)`, a coroutine, may handle a request in place of the member and then
    returns True. While `hung` is set the member says nothing; its machine still accepts connections.
    """

    def __init__(self, name, record, group=1, zone="a", role="replica", lag_ms=8.0):
        self.name, self.record, self.group, self.zone, self.role = name, record, group, zone, role
        self.lag_ms, self.position_of, self.hook, self.hung = lag_ms, None, None, False
        self.work_ms = {"pay-write": 20}
        self.runs = {}

    def position(self):
        if self.role == "primary":
            return now_ms()
        return self.position_of() if self.position_of else now_ms() - self.lag_ms

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=256)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def while_hung(self):
        while self.hung:
            await asyncio.sleep(0.005)

    def status(self, commit=None):
        position = self.position() if commit is None else commit
        return parameter("role", self.role) + parameter("applied_ms", str(int(position))) + READY

    async def serve(self, reader, writer):
        try:
            writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            length = struct.unpack(">I", await reader.readexactly(4))[0]
            await reader.readexactly(length - 4)
            await self.while_hung()
            writer.write(GREETING)
            while True:
                tag, length = struct.unpack(">cI", await reader.readexactly(5))
                body = await reader.readexactly(length - 4)
                if tag == b"X":
                    return
                await self.on_query(writer, body[:-1].decode())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def on_query(self, writer, statement):
        if not statement.strip():
            await self.while_hung()
            writer.write(message(b"I", b"") + READY)
        elif statement in ("SHOW load", "SELECT 1"):
            await self.while_hung()
            report = "x0=%.6f,x1=%d,inflight=0,util=0.1" % (self.position() / 1000, self.role == "primary")
            writer.write(ROW_DESCRIPTION + row(report.encode()) + complete("SELECT 1") + READY)
        else:
            await self.on_request(writer, statement)

    async def on_request(self, writer, statement):
        comment = comment_of(statement)
        self.record("member_got", member=self.name, id=comment["id"], c=comment["c"], d=comment["d"],
                    role=self.role, behind_ms=round(now_ms() - self.position()))
        if self.hook and await self.hook(self, writer, comment, statement):
            return
        await self.while_hung()
        is_write = "INSERT" in statement
        if is_write and self.role != "primary":
            writer.write(error("25006") + self.status())
            return
        commit = None
        if is_write:
            commit = self.note_run(comment["id"])
        await asyncio.sleep(self.work_ms.get(comment["c"], 5) / 1000)
        await self.while_hung()
        self.record("member_answered", member=self.name, id=comment["id"])
        tag = "INSERT 0 1" if is_write else "SELECT 1"
        writer.write(ROW_DESCRIPTION + row(b"of " + comment["id"].encode()) + complete(tag) + self.status(commit))

    def note_run(self, request):
        """Notes that the write runs, and returns its commit, rounded up."""
        self.runs[request] = self.runs.get(request, 0) + 1
        self.record("member_ran", member=self.name, id=request, times=self.runs[request])
        return int(now_ms()) + 1


# ---------------------------------------------------------------- discovery

class Discovery:
    """A proxy's agent for discovery with a list that does not change; watches end with no change."""

    def __init__(self, members, addresses=None):
        hosts = [{"host": m.name, "dial": (addresses or {}).get(m.name, m.address), "site": m.zone, "class": "std-4",
                  "block": m.group, "health": "active", "share": 1.0, "born_ms": 0, "role": m.role} for m in members]
        self.whole = {"seq": 41, "whole": True, "hosts": hosts}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=256)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        try:
            while True:
                path = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
                wait = re.search(r"index=\d+&wait=(\d+)", path)
                if wait:
                    await asyncio.sleep(int(wait.group(1)) / 1000)
                body = json.dumps({"seq": 41, "whole": False, "hosts": []} if wait else self.whole).encode()
                head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
                writer.write(head.encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()


# ---------------------------------------------------------------- the platform

def request_class(name, deadline_ms, target_ms, worth, late, repeat):
    return {"Name": name, "DeadlineUs": deadline_ms * 1000, "TargetUs": target_ms * 1000, "Group": "all", "LateValue": late,
            "MemorySpanUs": 5000000, "Repeat": repeat, "Streamed": False, "Worth": worth}


# The settings of the site sasiba-gauteng, as an instance is told them.
SETTINGS = {
    "Az": "a", "Balancers": 3, "Discovery": "push", "CountedBy": "request", "Family": "replicas", "Layer": 0, "SlotNo": 0,
    "Stages": ["pay-db"], "Tenants": [], "TickUs": 5000, "WeightKind": "nominal", "Zones": ["a", "b", "c"], "Kinds": ["std-4"],
    "Allowed": {"ConnectTimeoutUs": 250000, "CpuUsPerRequest": 0.0, "CpuUsPerS": 400000, "KeepaliveUs": 15000000,
                "MaxAttempts": 8, "MaxOpen": 20000, "MaxRetryAfterUs": 2000000, "MayCancel": True, "MayProbe": True,
                "PeerMessages": False, "RetryAfter": True, "SecondCopies": True, "StreamsPerConn": 8},
    "Classes": [request_class("lookup", 1000, 300, 1.0, 0.2, "retryable"),
                request_class("own-edit-read", 750, 300, 3.0, 0.0, "retryable"),
                request_class("run-report", 15000, 7500, 4.0, 0.2, "retryable"),
                request_class("pay-write", 2000, 1000, 3.0, 0.3, "fragile")],
    "Clients": {"MarksRetry": True}, "Report": {"Columns": ["x0", "x1", "inflight", "util"], "Via": "probe"},
    "Rules": {"AnswerSlackUs": 20000, "AskEveryUs": 10000000, "ColdFrom": 0.24, "ColdUs": 15000000, "FallMultiple": 3.0,
              "OverloadForUs": 1500000, "StopSendingWithinUs": 1000000},
    "Specifics": {"CatchUpWaitUs": 0, "Consistency": ["lag_bound", "causal", "eventual", "mutate"],
                  "MaxAgeUs": [200000, 0, 0, 0], "OriginTimeUs": 162433855777, "SessionMarks": "brought",
                  "ShowsRole": "trailing", "Stamps": True, "Synchronous": False, "WhenBehind": "none"}}


def die_with_parent():
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Proxy:
    """One proxy, started by `run` of the deploy file, with a settings file of the program's own where `xml` is given."""

    def __init__(self, case, name, discovery, zone="a", xml=None, listen=None, mgmt=None, memory_mb=192):
        self.case, self.name, self.mgmt = case, name, mgmt
        self.port = listen or free_port()
        self.config = {"name": name, "listen": "127.0.0.1:%d" % self.port, "discovery": discovery.address,
                       "seed": os.urandom(8).hex(), "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
                       "known": discovery.whole, "settings": dict(SETTINGS, Az=zone)}
        self.path = os.path.join(case.tmp, name + ".json")
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as deploy:
            self.command = tomllib.load(deploy)["run"]
        if xml:
            settings = os.path.join(case.tmp, name + ".xml")
            with open(settings, "w") as file:
                file.write(xml)
            self.command += " serve --settings " + settings
        case.proxies.append(self)

    def start(self):
        program = os.path.join(ROOT, "target", "release", "wharfplank")
        if not os.access(program, os.X_OK):
            raise NotRun("no " + program)
        with open(self.path, "w") as file:
            json.dump(self.config, file)
        env = dict(os.environ, BALANCER_NAME=self.name, BALANCER_LISTEN=self.config["listen"], TMPDIR=self.case.tmp,
                   BALANCER_DISCOVERY=self.config["discovery"], BALANCER_CONFIG=self.path)
        if self.mgmt:
            env["BALANCER_MGMT"] = "127.0.0.1:%d" % self.mgmt
        self.log = os.path.join(self.case.tmp, self.name + ".log")
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", self.command], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                            stdout=log, stderr=log, start_new_session=True, preexec_fn=die_with_parent)
        self.case.record("proxy_started", name=self.name, pid=self.process.pid)
        return self

    def kill(self):
        process = getattr(self, "process", None)
        if process and process.poll() is None:
            process.kill()
            process.wait()

    def last_line(self):
        with open(self.log, errors="replace") as log:
            return (log.read().strip().splitlines() or [""])[-1]

    async def ready(self, within=30):
        """Waits until the proxy answers an empty query."""
        end = time.time() + within
        while time.time() < end and self.process.poll() is None:
            try:
                client = await Client(self).connect()
                try:
                    await asyncio.wait_for(client.ask(""), 5)
                    self.case.record("proxy_ready", name=self.name)
                    return self
                finally:
                    client.close()
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                await asyncio.sleep(0.02)
        raise NotRun("%s is not ready: %s" % (self.name, self.last_line()))

    async def operator(self, line):
        """An operator's call; None while nobody listens."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.mgmt)
            writer.write(line.encode() + b"\n")
            answer = (await asyncio.wait_for(reader.read(), 5)).decode()
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return None
        self.case.record("operator", name=self.name, call=line, answer=repr(answer))
        return answer


def talk_settings(port, ports):
    """Settings for a proxy that tells its peers what it learns: <peers> and <replica>, with their defaults."""
    seeds = " ".join("127.0.0.1:%d" % seed for seed in ports)
    return ('<wharfplank><peers listen="127.0.0.1:%d" seeds="%s" expected="3"/><replica/></wharfplank>' % (port, seeds))


async def talking_proxies(case, discoveries):
    """Starts a proxy for each agent, each in a zone of its own, and waits until they hear each other."""
    ports = [free_port(socket.SOCK_DGRAM) for _ in discoveries]
    proxies = [Proxy(case, "n%d" % i, discovery, zone="abc"[i], xml=talk_settings(ports[i], ports)).start()
               for i, discovery in enumerate(discoveries)]
    for proxy in proxies:
        await proxy.ready()
    await asyncio.sleep(3)
    return proxies


# ---------------------------------------------------------------- clients

_next_id = iter(range(1, 1 << 32))


def new_id():
    return os.urandom(4).hex() + "%08x" % next(_next_id)


def statement(request, cls, deadline_ms, group=1, key=None, after=None):
    comment = "id=%s,c=%s,d=%d,cluster=%d" % (request, cls, deadline_ms, group)
    if after is not None:
        comment += ",after=%d" % after
    key = key or os.urandom(8).hex()
    if cls == "pay-write":
        return "/* %s */ INSERT INTO entries (ref, payload) VALUES ('%s', '\\x9f03') RETURNING payload" % (comment, key)
    return "/* %s */ SELECT payload FROM entries WHERE ref = '%s'" % (comment, key)


class Client:
    """One client's connection to a proxy."""

    def __init__(self, proxy):
        self.proxy, self.record, self.greeted = proxy, proxy.case.record, False

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.proxy.port)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writer.write(STARTUP)
        return self

    async def until_ready(self):
        """Reads one answer: ('served', value), ('refused', code), ('failed', code) or ('empty', None)."""
        value, code, completed = None, None, False
        while True:
            tag, length = struct.unpack(">cI", await self.reader.readexactly(5))
            body = await self.reader.readexactly(length - 4)
            if tag == b"D":
                value = body[6:]
            elif tag == b"C":
                completed = True
            elif tag == b"K":
                self.key = body  # what a cancel request names
            elif tag == b"E":
                fields = {field[:1]: field[1:].decode() for field in body.split(b"\0") if field}
                code = fields[b"C"]
                if fields.get(b"S") == "FATAL":
                    return "refused" if code in ("53300", "57P03") else "failed", code
            elif tag == b"Z":
                if code:
                    return "refused" if code in ("53300", "57P03") else "failed", code
                return ("served", value) if completed else ("empty", None)

    async def greet(self):
        if not self.greeted:
            await self.until_ready()
            self.greeted = True
        return self

    def send(self, query):
        if query:
            comment = comment_of(query)
            self.record("client_sent", proxy=self.proxy.name, id=comment["id"], c=comment["c"])
        self.writer.write(message(b"Q", query.encode() + b"\0"))

    async def ask(self, query):
        await self.greet()
        self.send(query)
        kind, detail = await self.until_ready()
        if query:
            self.record("client_answered", proxy=self.proxy.name, id=comment_of(query)["id"], kind=kind,
                        code=detail if kind != "served" else "-")
        return kind, detail

    def close(self):
        self.writer.close()
