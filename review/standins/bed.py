"""Test bed of the review: stand-ins for discovery's agent, leaf servers and clients, and the start of a real mixer.

The mixer runs as a separate process, by the `run` line of the deploy file. The stand-ins speak the published protocol
and run in the process of the test. Everything uses loopback addresses, free ports and a temporary folder.
"""
import asyncio
import hashlib
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
IP = "127.0.0.1"
MS = 1_000_000
CELLS, REACH = 12, 4
ZONES = ["colombo-north", "colombo-south", "kandy"]


class CannotRun(Exception):
    """The case can't run: exit code 2."""


def free_port():
    with socket.socket() as probe:
        probe.bind((IP, 0))
        return probe.getsockname()[1]


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes record.txt: what was sent, answered and run, with the time since the start of the test."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.write(f"TROUBLE={'1' if trouble() else '0'}")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def native_value(shard, text):
    return hashlib.sha256(f"{shard}:{text}".encode()).hexdigest()[:16]


def error_value():
    """The well-formed error body of an index node that can't search just now."""
    reason = {"type": "search_phase_execution_exception", "reason": "the index is being reopened"}
    return json.dumps({"error": dict(reason, root_cause=[reason]), "status": 500})


def search_value(shard):
    """The result of a search at one shard: one document."""
    hit = {"_id": f"d{shard}", "_score": 1.0, "_source": {"shard": shard}}
    return json.dumps({"hits": {"total": {"value": 1, "relation": "eq"}, "hits": [hit]}})


class Leaf:
    """One leaf server. `work` is the time for a part; `cores` parts are worked on at once, the others wait."""

    def __init__(self, record, cell, work, cores=2):
        self.record, self.cell, self.work = record, cell, work
        self.name = f"s-{cell:02d}"
        self.slots = asyncio.Semaphore(cores)
        self.hung = False
        self.error_bodies = False
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, IP, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self):
        return {"name": self.name, "address": f"{IP}:{self.port}", "zone": ZONES[self.cell % 3], "type": "std-2c",
                "group": self.cell, "status": "up", "weight": 1.0, "since_ms": 0}

    @staticmethod
    def frame(letter, rest):
        return (len(rest) + 1).to_bytes(4, "big") + letter + rest

    async def serve(self, reader, writer):
        cancelled = set()
        try:
            while True:
                length = int.from_bytes(await reader.readexactly(4), "big")
                body = await reader.readexactly(length)
                letter, rest = body[:1], body[1:]
                if letter == b"Q":
                    while rest:
                        line, _, rest = rest.partition(b"\n")
                        part, shard, _options, size = line.decode().split(" ")
                        text, rest = rest[:int(size)], rest[int(size):]
                        self.record.write(f"leaf {self.name} received part {part}")
                        run = self.run(writer, cancelled, part, int(shard), text.decode())
                        task = asyncio.ensure_future(run)
                        self.tasks.add(task)
                        task.add_done_callback(self.tasks.discard)
                elif letter == b"X":
                    cancelled.add(rest.decode())
                elif letter in (b"P", b"L") and not self.hung:
                    writer.write(self.frame(letter, b"ok" if letter == b"P" else b"-"))
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def run(self, writer, cancelled, part, shard, text):
        async with self.slots:
            if part in cancelled:
                return
            if self.hung:
                self.record.write(f"leaf {self.name} hangs and does not answer part {part}")
                return
            self.record.write(f"leaf {self.name} began to run part {part}")
            await asyncio.sleep(self.work)
            if self.hung:
                return
            value = search_value(shard) if text.startswith("{") else native_value(shard, text)
            if self.error_bodies:
                value = error_value()
            self.record.write(f"leaf {self.name} ran part {part}: {'an error body' if self.error_bodies else 'a result'}")
            try:
                writer.write(self.frame(b"A", f"{part} ok 1 -\n{value}".encode()))
            except ConnectionError:
                pass


class Agent:
    """Discovery's agent: the whole list, and a watch with an empty line every 2 s. The list does not change."""

    def __init__(self, entries):
        self.list = {"index": 1, "snapshot": True, "endpoints": entries}

    async def start(self):
        server = await asyncio.start_server(self.serve, IP, 0)
        self.server, self.port = server, server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            body = json.dumps(self.list).encode() + b"\n"
            if "watch=1" not in head.split("\r\n")[0]:
                length = f"Content-Length: {len(body)}\r\n\r\n".encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + length + body)
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(f"{len(body):x}\r\n".encode() + body + b"\r\n")
            while True:
                await writer.drain()
                await asyncio.sleep(2)
                writer.write(b"1\r\n\n\r\n")
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def settings():
    """Settings in the form and with the figures of the published example."""
    def klass(name, give_up, importance, late):
        return {"name": name, "aim_ns": 2500 * MS, "give_up_ns": give_up * MS, "dedup_window_ns": 5000 * MS,
                "group": "all", "importance": importance, "late_value": late, "semantics": "read_like", "stream": False}
    return {
        "classes": [klass("catalogue-report", 5000, 5.0, 0.0), klass("track-lookup", 5000, 1.0, 0.0),
                    klass("chart-ranking", 6000, 5.0, 0.3)],
        "callers": {"marks_retry": True}, "counted_by": "request", "discovery": "pushed", "domain_type": "fanout",
        "extra": {"bundle_max": 1, "class_need": [1.0, 1.0, 1.0], "least_share": [0.7, 1.0, 0.6], "overhead_ns": 0,
                  "partial_earns": [0.9, 0.9, 0.9], "places": CELLS, "ranges": CELLS, "reach": REACH,
                  "second_step": [0, 0, 0], "warm_keys": False},
        "guarantees": {"ask_within_ns": 10000 * MS, "cold_from": 0.19, "cold_ns": 17000 * MS, "fall_multiple": 3.0,
                       "fall_ns": 1500 * MS, "grace_to_answer_ns": 20 * MS, "stop_sending_within_ns": 250 * MS},
        "kinds": ["std-2c", "eco-2c"],
        "limits": {"cancelling": True, "conn_idle_ns": 30000 * MS, "connect_timeout_ns": 250 * MS,
                   "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000, "max_attempts": 4,
                   "max_retry_after_ns": 500 * MS, "may_duplicate": True, "may_probe": True, "open_cap": 52,
                   "peers": False, "retry_after": False, "streams_per_conn": 32},
        "localities": ZONES, "me": 0, "my_zone": 0,
        "orgs": [{"name": "ceylon-sound", "allowance_per_s": 4.0, "fraction": 0.34},
                 {"name": "island-tracks", "allowance_per_s": 3.0, "fraction": 0.32},
                 {"name": "lotus-audio", "allowance_per_s": 2.0, "fraction": 0.18},
                 {"name": "hill-country-music", "allowance_per_s": 2.0, "fraction": 0.16}],
        "over_share_worth": 0.1, "replicas_of_me": 3, "reporting": {"fields": [], "how": "none"},
        "stages": ["catalogue-fleet"],
        "tariffs": {"connection": 0.024, "cross_zone": 0.083, "discovery": 0.0, "handshake": 0.02, "late_fail": 0.023,
                    "moves": 0.0, "origin": 0.0, "peer": 0.0075, "probe": 0.01, "waste": 0.18},
        "tick_ns": 5 * MS, "tier": 0, "weight_source": "nominal",
    }


def run_line():
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as deploy:
        return re.search(r'^run = "([^"]*)"', deploy.read(), re.M).group(1)


class Bed:
    """Twelve leaf servers in a ring, the agent and one mixer.

    `index` is the text of the sections of the indices that the search front serves; `ledger` the text of further
    sections of the settlement's settings, with which the mixer records usage and a settlement collects it.
    """

    def __init__(self, folder, work=0.17, index=None, ledger=None):
        self.folder, self.work, self.index, self.ledger = folder, work, index, ledger
        self.record = Record(folder)
        self.process = self.settlement = None
        self.temp = tempfile.mkdtemp(prefix="review-")

    async def start(self):
        self.leaves = [Leaf(self.record, cell, self.work) for cell in range(CELLS)]
        for leaf in self.leaves:
            await leaf.start()
        agent = Agent([leaf.entry() for leaf in self.leaves])
        await agent.start()
        self.port, self.search_port = free_port(), free_port()
        config = {"name": "n0", "listen": f"{IP}:{self.port}", "discovery": f"{IP}:{agent.port}",
                  "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                  "known": agent.list, "settings": settings()}
        path = os.path.join(self.temp, "config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        environment = dict(os.environ, BALANCER_NAME="n0", BALANCER_LISTEN=config["listen"],
                           BALANCER_DISCOVERY=config["discovery"], BALANCER_CONFIG=path, TMPDIR=self.temp)
        if self.index:
            environment["COTTONHILL_SETTINGS"] = os.path.join(self.temp, "cottonhill.ini")
            with open(environment["COTTONHILL_SETTINGS"], "w", encoding="utf-8") as file:
                file.write(f"[opensearch]\nlisten = {IP}:{self.search_port}\n{self.index}")
                if self.ledger:
                    usage_port = free_port()
                    file.write(f"\n[usage]\ndirectory = {self.temp}/usage\nlisten = {IP}:{usage_port}\n")
        log = open(os.path.join(self.temp, "log"), "wb")
        self.process = await asyncio.create_subprocess_exec("/bin/sh", "-c", run_line(), cwd=ROOT, env=environment,
                                                            stdout=log, stderr=log)
        if self.ledger:
            self.ledger_ini = os.path.join(self.temp, "ledger.ini")
            with open(self.ledger_ini, "w", encoding="utf-8") as file:
                file.write(f"[settlement]\nstore = {self.temp}/ledger.sqlite\n"
                           f"[member n0]\naddress = {IP}:{usage_port}\n{self.ledger}")
            self.settlement = await asyncio.create_subprocess_exec(
                os.path.join(ROOT, "target/release/cottonhill"), "ledger", "serve", "--settings", self.ledger_ini,
                cwd=ROOT, stdout=log, stderr=log)
        for _ in range(100):
            await asyncio.sleep(0.1)
            if self.process.returncode is not None:
                raise CannotRun(f"the mixer ended with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection(IP, self.port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: mixer\r\nConnection: close\r\n\r\n")
                answer = await reader.read()
                writer.close()
                if answer.startswith(b"HTTP/1.1 200"):
                    self.record.write("mixer is ready")
                    return
            except OSError:
                pass
        raise CannotRun("the mixer did not become ready within 10 s")

    def signal(self, number):
        self.record.write(f"{signal.Signals(number).name} to the mixer")
        self.process.send_signal(number)

    async def ledger_command(self, *arguments):
        """Runs a command of the ledger and returns its JSON; None if it fails."""
        command = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target/release/cottonhill"), "ledger", *arguments, "--format", "json", "--settings",
            self.ledger_ini, cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL)
        out, _ = await command.communicate()
        return json.loads(out) if command.returncode == 0 and out.strip() else None

    async def stop(self):
        for process in (self.settlement, self.process):
            if process and process.returncode is None:
                process.kill()
                await process.wait()
        with open(os.path.join(self.temp, "log"), encoding="utf-8", errors="replace") as log:
            for line in log.read().splitlines()[-40:]:
                self.record.write(f"mixer's log: {line}")
        shutil.rmtree(self.temp, ignore_errors=True)


async def read_response(reader):
    """Reads one whole HTTP response with a length; returns status, body, and whether the connection closes."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    status = int(head.split(" ")[1])
    length = int(re.search(r"content-length: *(\d+)", head, re.I).group(1))
    body = await reader.readexactly(length)
    return status, body, "connection: close" in head.lower()


def run(case, folder):
    """Runs a case; `case` returns the breaks of the rule that it saw."""
    async def main():
        # A case that is ended early still ends the processes that it started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(case(folder), 110)
        except (Exception, asyncio.CancelledError) as error:  # a fault of the test itself must not look like a broken rule
            print(f"could not run: {error!r}")
            return None
    breaks = asyncio.run(main())
    if breaks is None:
        sys.exit(2)
    for line in breaks:
        print(f"rule broken: {line}")
    print("FAILED" if breaks else "held")
    sys.exit(1 if breaks else 0)
