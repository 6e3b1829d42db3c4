"""Stand-ins and helpers of the review's cases 6 to 10: discovery, leaf servers, clients, and the programs under test.

Everything runs in one event loop and on loopback addresses. The programs under test are started as processes of their
own with the `run` of deploy/balancer.toml. Python's standard library only.
"""

import asyncio
import hashlib
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MS = 1_000_000
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up, or its undisturbed part did not behave as the case needs."""


def loopback_address():
    """A loopback address of this process's own, so that cases that run at the same time do not share ports."""
    pid = os.getpid()
    return f"127.{130 + (pid >> 16) % 100}.{(pid >> 8) % 256}.{max(1, pid % 255)}"


def free_addresses(ip, count):
    """Addresses of `ip` with different ports that are free: all are bound before any of them is freed."""
    sockets = []
    for _ in range(count):
        one = socket.socket()
        one.bind((ip, 0))
        sockets.append(one)
    found = [f"{ip}:{one.getsockname()[1]}" for one in sockets]
    for one in sockets:
        one.close()
    return found


def split_address(address):
    ip, port = address.rsplit(":", 1)
    return ip, int(port)


def value_of(shard, text):
    """The value that a leaf server makes for a part."""
    return hashlib.sha256(f"{shard} {text}".encode()).hexdigest()[:16]


class Record:
    """What was sent, answered and run, with the time since the start of the case, in record.txt of the case."""

    def __init__(self, folder):
        self.started = time.time()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.write(f"TROUBLE={1 if TROUBLE else 0}")

    def write(self, line):
        self.file.write(f"{time.time() - self.started:9.3f} {line}\n")
        self.file.flush()


# ---------------------------------------------------------------- discovery


class Discovery:
    """Discovery, or a mixer's agent of it: the endpoint list, whole or as a watch. `answer_delay` is how long each call
    waits for its first answer; changes on an open watch are written at once."""

    def __init__(self, ip, record, table=None, name="discovery"):
        self.ip, self.record, self.name = ip, record, name
        self.table = table if table is not None else Table()
        self.answer_delay = 0.0
        self.server = None
        self.address = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def stop(self):
        """Accepts no new connection and ends the open ones."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop_listening(self):
        self.server.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                self.record.write(f"{self.name} {self.address}: call {target}")
                if self.answer_delay:
                    await asyncio.sleep(self.answer_delay)
                if "watch=1" not in target:
                    body = json.dumps(self.table.whole()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                    await writer.drain()
                    self.written(self.table.index)
                    continue
                found = re.search(r"from=(\d+)", target)
                await self.watch(reader, writer, int(found.group(1)) if found else None)
                return
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def written(self, index):
        self.record.write(f"{self.name} {self.address}: told version {index}")

    async def watch(self, reader, writer, known):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        first = True
        while True:
            if first or known != self.table.index:
                message = json.dumps(self.table.since(known)).encode() + b"\n"
                known = self.table.index
                writer.write(b"%x\r\n%s\r\n" % (len(message), message))
                await writer.drain()
                self.written(known)
                first = False
                continue
            changed = asyncio.ensure_future(self.table.changed.wait())
            ended = asyncio.ensure_future(reader.read(1))
            done, waiting = await asyncio.wait({changed, ended}, timeout=2.0, return_when=asyncio.FIRST_COMPLETED)
            for task in waiting:
                task.cancel()
            if ended in done:
                self.record.write(f"{self.name} {self.address}: the mixer ended its watch")
                return
            if not done:
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()


class Table:
    """The endpoint list with its versions."""

    def __init__(self):
        self.entries = {}
        self.index = 40
        self.history = []
        self.changed = asyncio.Event()

    def update(self, *entries):
        self.index += 1
        for entry in entries:
            if entry["status"] == "removed":
                self.entries.pop(entry["name"], None)
            else:
                self.entries[entry["name"]] = entry
            self.history.append((self.index, entry))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def whole(self):
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def since(self, known):
        if known is None or known < 41:
            return self.whole()
        changes = {}
        for index, entry in self.history:
            if index > known:
                changes[entry["name"]] = entry
        return {"index": self.index, "snapshot": False, "endpoints": list(changes.values())}


# ---------------------------------------------------------------- leaf servers


class Leaf:
    """A leaf server. `work` is the time of a part; `answer`, if set, makes the value of an answer from the text."""

    def __init__(self, ip, record, name, cell, zone, work=0.02):
        self.ip, self.record, self.name, self.cell, self.zone, self.work = ip, record, name, cell, zone, work
        self.answer = None
        self.parts = []
        self.address = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self, status="up", since_ms=0):
        return {"name": self.name, "address": self.address, "zone": self.zone, "type": "std-2c", "group": self.cell,
                "status": status, "weight": 1.0, "since_ms": since_ms}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        tasks = {}
        try:
            while True:
                length = int.from_bytes(await reader.readexactly(4), "big")
                frame = await reader.readexactly(length)
                kind, rest = frame[:1], frame[1:]
                if kind == b"Q":
                    while rest:
                        line, rest = rest.split(b"\n", 1)
                        part, shard, listed, size = line.decode().split(" ")
                        text, rest = rest[: int(size)].decode(), rest[int(size):]
                        self.parts.append((time.time(), part, int(shard), int(listed[2:]), text))
                        self.record.write(f"leaf {self.name}: got {part} {listed}")
                        tasks[part] = asyncio.ensure_future(self.run(writer, part, int(shard), text))
                elif kind == b"X":
                    self.record.write(f"leaf {self.name}: cancelled {rest.decode()}")
                    task = tasks.get(rest.decode())
                    if task:
                        task.cancel()
                elif kind == b"P":
                    self.send(writer, b"Pok")
                elif kind == b"L":
                    self.send(writer, b"L-")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            for task in tasks.values():
                task.cancel()
            self.writers.discard(writer)
            writer.close()

    async def run(self, writer, part, shard, text):
        await asyncio.sleep(self.work)
        value = self.answer(shard, text) if self.answer else value_of(shard, text)
        self.record.write(f"leaf {self.name}: ran {part}")
        self.send(writer, f"A{part} ok 1 -\n{value}".encode())

    @staticmethod
    def send(writer, body):
        if not writer.is_closing():
            writer.write(len(body).to_bytes(4, "big") + body)


# ---------------------------------------------------------------- programs under test


def deploy_command(key):
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        found = re.search(rf'^{key} = "([^"]*)"', file.read(), re.M)
    if not found:
        raise CannotRun(f"deploy/balancer.toml has no {key}")
    return found.group(1)


class Program:
    """A process of the project, ended with the case."""

    def __init__(self, command, environment, log):
        kept = {key: value for key, value in os.environ.items() if not key.startswith(("BALANCER_", "COTTONHILL_"))}
        self.log = log
        self.output = open(log, "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env={**kept, **environment},
                                        stdin=subprocess.DEVNULL, stdout=self.output, stderr=self.output)

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def exited(self):
        return self.process.poll()

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()
        self.output.close()


class Bed:
    """The record, the temporary folder, the leaf servers, discovery and the programs of one case."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(folder)
        self.ip = loopback_address()
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.programs = []
        self.leaves = []
        self.discovery = None

    async def start_leaves(self, cells, zones, work):
        self.discovery = Discovery(self.ip, self.record)
        for cell in range(cells):
            leaf = Leaf(self.ip, self.record, f"s-{cell}", cell, zones[cell % len(zones)], work)
            await leaf.start()
            self.leaves.append(leaf)
        self.discovery.table.update(*[leaf.entry() for leaf in self.leaves])
        await self.discovery.start()

    def config(self, name, settings, **changes):
        listen, peer = free_addresses(self.ip, 2)
        config = {"name": name, "listen": listen, "discovery": self.discovery.address, "seed": os.urandom(8).hex(),
                  "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512},
                  "peer_listen": peer, "peers": [peer],
                  "known": self.discovery.table.whole(), "settings": settings}
        config.update(changes)
        self.write_config(config)
        return config

    def config_path(self, name):
        return os.path.join(self.directory, f"{name}.json")

    def write_config(self, config):
        path = self.config_path(config["name"])
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump(config, file)
        os.replace(path + ".new", path)

    async def start_mixer(self, config, ini=None, prefix=""):
        """Starts a mixer with the `run` of the deploy file, after `prefix` in the same shell, and waits until it is ready."""
        name = config["name"]
        temporary = os.path.join(self.directory, f"{name}.tmp")
        os.makedirs(temporary, exist_ok=True)
        environment = {"BALANCER_NAME": name, "BALANCER_LISTEN": config["listen"],
                       "BALANCER_DISCOVERY": config["discovery"], "BALANCER_CONFIG": self.config_path(name),
                       "TMPDIR": temporary, "COTTONHILL_LOG": os.environ.get("REVIEW_LOG", "info")}
        if ini is not None:
            path = os.path.join(self.directory, f"{name}.ini")
            with open(path, "w", encoding="utf-8") as file:
                file.write(ini)
            environment["COTTONHILL_SETTINGS"] = path
        program = Program(prefix + deploy_command("run"), environment, os.path.join(self.directory, f"{name}.log"))
        self.programs.append(program)
        self.record.write(f"mixer {name} started, pid {program.process.pid}")
        for _ in range(300):
            if program.exited() is not None:
                raise CannotRun(f"mixer {name} exited: {open(program.log).read()}")
            try:
                status, _ = await exchange(config["listen"], request("GET", "/-/ready"), 1.0)
            except (OSError, asyncio.TimeoutError, EOFError):
                status = 0
            if status == 200:
                self.record.write(f"mixer {name} ready")
                return program
            await asyncio.sleep(0.05)
        raise CannotRun(f"mixer {name} was not ready within 15 s")

    async def close(self):
        for program in self.programs:
            program.kill()
        for leaf in self.leaves:
            await leaf.stop()
        if self.discovery:
            await self.discovery.stop()
        logs = [name for name in sorted(os.listdir(self.directory)) if name.endswith(".log")]
        for name in logs:
            with open(os.path.join(self.directory, name), encoding="utf-8", errors="replace") as file:
                for line in file.read().splitlines()[-40:]:
                    self.record.write(f"log {name}: {line}")
        shutil.rmtree(self.directory, ignore_errors=True)


# ---------------------------------------------------------------- clients


def request(method, path, body=b"", headers=()):
    lines = [f"{method} {path} HTTP/1.1", "Host: service.internal", *headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def query(class_name, tenant, request_id, timeout_ms, shards, text, retried=False):
    """A query of the clients' protocol; `shards` are pairs of shard and weight."""
    body = json.dumps({"shards": [{"shard": shard, "weight": weight} for shard, weight in shards], "q": text})
    headers = [f"X-Request-ID: {request_id}", f"X-Tenant-Id: {tenant}", f"X-Timeout: {timeout_ms}m"]
    if retried:
        headers.append("X-Retried: 1")
    return request("POST", f"/{class_name}", body.encode(), headers)


def equal_shards(shards):
    return [(shard, 1.0 / len(shards)) for shard in shards]


def new_id():
    return os.urandom(8).hex()


async def read_response(reader):
    """A response with a Content-Length: its status and body. EOFError if the connection ends before it is whole."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        raise EOFError(f"connection ended after {len(error.partial)} bytes of the response") from error
    status = int(head.split(b" ", 2)[1])
    found = re.search(rb"content-length: *(\d+)", head, re.I)
    try:
        body = await reader.readexactly(int(found.group(1)) if found else 0)
    except asyncio.IncompleteReadError as error:
        raise EOFError("connection ended within the body of the response") from error
    return status, body


async def connect(address):
    reader, writer = await asyncio.open_connection(*split_address(address))
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return reader, writer


async def exchange(address, message, timeout):
    """One request on a connection of its own."""

    async def run():
        reader, writer = await connect(address)
        try:
            writer.write(message)
            await writer.drain()
            return await read_response(reader)
        finally:
            writer.close()

    return await asyncio.wait_for(run(), timeout)


# ---------------------------------------------------------------- the ledger

PERIOD_S = 15
HORIZON_S = 6


def usage_section(bed, name, listen):
    return f"[usage]\ndirectory = {os.path.join(bed.directory, name)}.usage\nmark = 100ms\nlisten = {listen}\n"


class Ledger:
    """The settlement: `cottonhill ledger serve`, with short billing periods, and what it bills."""

    def __init__(self, bed, members, prices, grace=20):
        self.bed, self.grace = bed, grace
        self.path = os.path.join(bed.directory, "ledger.ini")
        text = f"[settlement]\nstore = {os.path.join(bed.directory, 'ledger.sqlite')}\n\n"
        text += f"[periods]\nevery = {PERIOD_S}s\nhorizon = {HORIZON_S}s\nskew = 200ms\ngrace = {grace}s\n\n"
        text += "".join(f"[member {name}]\naddress = {address}\n\n" for name, address in members.items())
        text += "".join(f"[price {name}]\nwhole = {price}\n\n" for name, price in prices.items())
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(text)
        # The ledger is another command of the program that `run` of the deploy file starts.
        self.command = deploy_command("run") + " ledger"

    def start(self):
        log = os.path.join(self.bed.directory, "ledger.log")
        program = Program(f"{self.command} serve", {"COTTONHILL_SETTINGS": self.path}, log)
        self.bed.programs.append(program)
        return program

    async def call(self, arguments):
        kept = {key: value for key, value in os.environ.items() if not key.startswith(("BALANCER_", "COTTONHILL_"))}
        process = await asyncio.create_subprocess_shell(
            f"{self.command} {arguments}", cwd=ROOT, env={**kept, "COTTONHILL_SETTINGS": self.path},
            stdout=subprocess.PIPE, stderr=subprocess.PIPE)
        output, errors = await process.communicate()
        if process.returncode:
            raise CannotRun(f"ledger {arguments}: {errors.decode()}")
        return output.decode()

    async def wait_for_period(self):
        """Waits for the start of a billing period, and returns its end."""
        now = time.time()
        start = (now // PERIOD_S + 1) * PERIOD_S
        await asyncio.sleep(start - now + 0.3)
        return start + PERIOD_S

    async def statement(self, end):
        """The statement of the period that ended then, once it is closed."""
        while time.time() < end + HORIZON_S + self.grace + 8:
            await asyncio.sleep(0.5)
            if time.time() < end + HORIZON_S:
                continue
            start = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(end - PERIOD_S))
            try:
                text = await self.call(f"statement {start} --format json")
            except CannotRun as error:
                last = error
                continue
            self.bed.record.write(f"statement of {start}: {' '.join(text.split())}")
            return json.loads(text)
        raise CannotRun(f"the period was not closed in time: {last}")


# ---------------------------------------------------------------- settings

ZONES = ["colombo-north", "colombo-south", "kandy"]
TENANTS = ["ceylon-sound", "island-tracks", "lotus-audio", "hill-country-music"]


def lmla_settings(**changes):
    """Settings of a small deployment of the site lmla-previews: 12 partitions, each held by 4 leaf servers."""

    def one_class(name, give_up_ms, importance, late_value):
        return {"name": name, "aim_ns": 2500 * MS, "give_up_ns": give_up_ms * MS, "dedup_window_ns": give_up_ms * MS,
                "group": "all", "importance": importance, "late_value": late_value, "semantics": "read_like",
                "stream": False}

    settings = {
        "callers": {"marks_retry": True},
        "classes": [one_class("catalogue-report", 5000, 5.0, 0.0), one_class("track-lookup", 5000, 1.0, 0.0),
                    one_class("chart-ranking", 6000, 5.0, 0.3)],
        "counted_by": "request", "discovery": "pushed", "domain_type": "fanout",
        "extra": {"bundle_max": 1, "class_need": [1.0, 1.0, 1.0], "least_share": [0.7, 1.0, 0.6], "overhead_ns": 0,
                  "partial_earns": [0.9, 0.9, 0.9], "places": 12, "ranges": 12, "reach": 4, "second_step": [0, 0, 0],
                  "warm_keys": False},
        "guarantees": {"ask_within_ns": 10000 * MS, "cold_from": 0.19, "cold_ns": 17000 * MS, "fall_multiple": 3.0,
                       "fall_ns": 1500 * MS, "grace_to_answer_ns": 20 * MS, "stop_sending_within_ns": 250 * MS},
        "kinds": ["std-2c", "eco-2c"],
        "limits": {"cancelling": True, "conn_idle_ns": 30000 * MS, "connect_timeout_ns": 250 * MS,
                   "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000, "max_attempts": 4, "max_retry_after_ns": 500 * MS,
                   "may_duplicate": True, "may_probe": True, "open_cap": 200, "peers": True, "retry_after": False,
                   "streams_per_conn": 32},
        "localities": ZONES, "me": 0, "my_zone": 0, "over_share_worth": 0.1, "replicas_of_me": 3,
        "orgs": [{"name": name, "allowance_per_s": rate, "fraction": part}
                 for name, rate, part in zip(TENANTS, (4.0, 3.0, 2.0, 2.0), (0.34, 0.32, 0.18, 0.16))],
        "reporting": {"fields": [], "how": "none"}, "stages": ["catalogue-fleet"],
        "tariffs": {"connection": 0.024, "cross_zone": 0.083, "handshake": 0.02, "late_fail": 0.023, "peer": 0.0075,
                    "probe": 0.01, "waste": 0.18},
        "tick_ns": 5 * MS, "tier": 0, "weight_source": "nominal",
    }
    settings.update(changes)
    return settings


# ---------------------------------------------------------------- running a case


def run_case(file, case, seconds=110):
    """Runs `case(bed)`, a coroutine that returns HELD or BROKEN, and exits with its result."""
    folder = os.path.dirname(os.path.abspath(file))

    async def main():
        bed = Bed(folder)
        try:
            result = await asyncio.wait_for(case(bed), seconds)
        except CannotRun as error:
            bed.record.write(f"cannot run: {error}")
            result = NOT_RUN
        except Exception as error:  # the case itself failed: it says nothing about the rule
            bed.record.write(f"cannot run: {type(error).__name__}: {error}")
            result = NOT_RUN
        finally:
            await bed.close()
        text = {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[result]
        bed.record.write(f"result: {text}")
        print(f"{os.path.basename(folder)}: {text}")
        return result

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    result = asyncio.run(main())
    sys.stdout.flush()
    os._exit(result)  # connections that are still open need no orderly end
