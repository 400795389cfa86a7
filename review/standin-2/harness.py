"""Stand-ins and helpers that the scripts of this review share (Python 3, standard library).

The platform's store is served in the process of the script. Runners are processes of
their own, see `runner.py`. Gateways are started with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HERE = os.path.dirname(os.path.abspath(__file__))
KEY = "review-key-1"
TENANT = "review-tenant"
HOST = "review.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run; the script exits with 2."""


def subnet():
    """Returns the first three parts of a loopback network for this run."""
    return f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}"


def free_port(address):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.start = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")


class Store:
    """The platform's store: rows with versions, a change feed and conditional writes."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.changed = None
        self.fault = None
        self.era = 0
        self.connections = set()
        self.server = None
        self.address = None

    async def start(self, address):
        self.changed = asyncio.Condition()
        self.server = await asyncio.start_server(self.serve, address, 0, backlog=512)
        self.address = self.server.sockets[0].getsockname()

    async def put(self, table, key, value):
        async with self.changed:
            self.version += 1
            self.rows[(table, "", key)] = (self.version, value)
            self.changed.notify_all()
        return self.version

    def row(self, name):
        version, value = self.rows[name]
        row = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def answer(self, rows, more=False):
        now = int(time.monotonic() * 1000)
        return 200, {"rows": rows, "hasMore": more, "ver": self.version, "nowMs": now}

    def copy(self):
        return dict(self.rows), self.version

    async def go_away(self):
        """Ends all channels and answers nothing until `come_back`."""
        self.fault = "busy"
        for writer in list(self.connections):
            writer.transport.abort()

    async def come_back(self, copy):
        """Goes on from an earlier copy: its era rises by one."""
        async with self.changed:
            self.rows, self.version = dict(copy[0]), copy[1]
            self.era += 1
            self.fault = None
            self.changed.notify_all()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                start, headers = head
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                method, target, _ = start.split(" ", 2)
                fault = self.fault
                if fault == "silent":
                    await asyncio.sleep(3600)
                status, answer = (503, {}) if fault == "busy" else await self.call(target, body)
                text = json.dumps(answer).encode()
                era = b"Store-Era: %d\r\n" % self.era if self.era else b""
                writer.write(
                    b"HTTP/1.1 %d X\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, era, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def call(self, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/v1/rows-get":
            names = sorted(name for name in self.rows
                           if name[0] == query["table"] and name[1] == query.get("part", "")
                           and name[2] >= query.get("from", "") and self.rows[name][1] is not None)
            return self.answer([self.row(name) for name in names])
        if url.path == "/v1/rows-feed":
            after = int(query["after"])
            if after > self.version:
                return 410, {}
            end = time.monotonic() + int(query.get("waitMs", "0")) / 1000
            while True:
                names = [name for name in self.rows
                         if name[0] == query["table"] and self.rows[name][0] > after]
                left = end - time.monotonic()
                if names or left <= 0:
                    names.sort(key=lambda name: self.rows[name][0])
                    return self.answer([self.row(name) for name in names])
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if url.path == "/v1/rows-tx":
            call = json.loads(body)
            name = lambda row: (row["table"], row.get("part", ""), row["key"])
            held = lambda row: self.rows.get(name(row), (0, None))
            for row in call.get("expected", []):
                version, value = held(row)
                if row["ver"] != (0 if value is None else version):
                    known = [name(row) for row in call["expected"] if name(row) in self.rows]
                    return 412, {"rows": [self.row(entry) for entry in known]}
            async with self.changed:
                self.version += 1
                for row in call.get("puts", []):
                    self.rows[name(row)] = (self.version, base64.b64decode(row["value"]))
                for row in call.get("remove", []):
                    self.rows[name(row)] = (self.version, None)
                self.changed.notify_all()
            return self.answer([])
        return 404, {}


async def read_head(reader):
    """Reads the head of a message; returns its first line and its headers."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Answer:
    """What a client got for a request."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False
        self.cause = ""


async def read_answer(reader, answer, wait):
    """Reads an answer with a length or in chunks; `complete` tells whether it is whole."""
    end = time.monotonic() + wait
    left = lambda: max(0.001, end - time.monotonic())
    try:
        head = await asyncio.wait_for(read_head(reader), left())
        if head is None:
            answer.cause = "closed before a head"
            return answer
        start, answer.headers = head
        answer.status = int(start.split(" ")[1])
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                line = await asyncio.wait_for(reader.readuntil(b"\r\n"), left())
                size = int(line.split(b";")[0], 16)
                part = await asyncio.wait_for(reader.readexactly(size + 2), left())
                if size == 0:
                    answer.complete = True
                    return answer
                answer.body += part[:-2]
        size = int(answer.headers.get("content-length", "0"))
        answer.body = await asyncio.wait_for(reader.readexactly(size), left())
        answer.complete = True
    except asyncio.TimeoutError:
        answer.cause = "no answer in time"
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        answer.cause = f"broke off: {type(error).__name__}"
    return answer


async def call(address, method, path, request, deadline_ms, body=b"", extra="", source=None):
    """Sends one request on a channel of its own and returns its answer."""
    answer = Answer()
    try:
        local = (source, 0) if source else None
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*address, local_addr=local), 1.0)
    except (OSError, asyncio.TimeoutError) as error:
        answer.cause = f"not connected: {type(error).__name__}"
        return answer
    try:
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n{extra}"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        return await read_answer(reader, answer, deadline_ms / 1000)
    finally:
        writer.close()


def route(name, prefix, kind, service, **more):
    return {"name": name, "hostname": HOST, "prefix": prefix, "type": kind, "service": service,
            "timeoutMs": 20000, "goalMs": 500, "priority": 1, "maxAttempts": 2, **more}


def document(version, routes, services, **limits):
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
              "idleTimeoutMs": 15000, **limits}
    tenants = [{"name": TENANT, "apiKeys": [KEY]}]
    return json.dumps({"version": version, "routes": routes, "services": services,
                       "limits": limits, "tenants": tenants}).encode()


class Deployment:
    """Gateways, runners and the store of one run, in a temporary folder."""

    def __init__(self, folder):
        self.program = os.path.join(ROOT, "target/release/arbutusfold")
        if not os.access(self.program, os.X_OK):
            raise CannotRun("target/release/arbutusfold is missing: run the deploy file's build")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(folder)
        self.net = subnet()
        self.store = Store()
        self.processes = []
        self.nodes = []
        self.runners = {}

    async def start(self, nodes, zones=("zone-a", "zone-b", "zone-c"), **settings):
        await self.store.start(f"{self.net}.250")
        places = []
        for index in range(nodes):
            ip = f"{self.net}.{index + 1}"
            ports = {name: (ip, free_port(ip))
                     for name in ("callers", "ready", "directory", "peers", "metrics")}
            places.append({"name": f"front-{index + 1}", "ip": ip, "zone": zones[index % len(zones)],
                           **ports})
        self.nodes = places
        for place in places:
            self.start_node(place, **settings)

    def start_node(self, place, **settings):
        text = lambda name: "%s:%d" % place[name]
        content = {
            "name": place["name"], "region": "region", "domain": place["zone"],
            "callers": text("callers"), "ready": text("ready"), "directory": text("directory"),
            "peers": text("peers"), "metrics": text("metrics"),
            "seeds": ["%s:%d" % other["peers"] for other in self.nodes[:3]],
            "store": "%s:%d" % self.store.address,
            "peer_keys": ["6b1f0c52a79e4d3388f1c07d5be29a64f3c81b70d92e45a6b7c80e1f2a3d4c5b"],
            "wait_limit": 64, "descriptor_limit": 4100, "probe_stages": True, "drain_ms": 2000,
            "memory_mb": 260, "contact_ms": 3000, "stop_limit_s": 8, "retry_share": 0.2,
            "retry_extra": 198, "retry_window_s": 10, "share_demand": True, **settings}
        path = os.path.join(self.folder, place["name"] + ".jsonc")
        with open(path, "w") as file:
            json.dump(content, file)
        log = open(os.path.join(self.folder, place["name"] + ".log"), "a")
        # The command of the deploy file, with the path of this run's settings.
        place["process"] = self.spawn([self.program, "gateway", path], stdout=log, stderr=log)
        log.close()

    def spawn(self, words, **more):
        process = subprocess.Popen(words, cwd=ROOT, stdin=subprocess.DEVNULL, **more)
        self.processes.append(process)
        return process

    async def start_runner(self, name, zone, **spec):
        """Starts a runner as a process; it tells its address and its events by lines."""
        ip = f"{self.net}.{100 + len(self.runners)}"
        spec = {"id": name, "ip": ip, **spec}
        process = await asyncio.create_subprocess_exec(
            sys.executable, os.path.join(HERE, "runner.py"), json.dumps(spec),
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE)
        self.processes.append(process)
        first = json.loads(await asyncio.wait_for(process.stdout.readline(), 10))
        runner = {"id": name, "zone": zone, "process": process, "address": tuple(first["address"]),
                  "born": first["born"], "spec": spec, "events": [], "state": "ready", "dead": False,
                  "layers": None, "sequence": 0, "listed": True}
        self.runners[name] = runner
        runner["task"] = asyncio.create_task(self.follow(runner))
        await self.publish(runner)
        return runner

    async def follow(self, runner):
        """Reads what a runner tells, and writes its entry as the runner would."""
        lines = runner["process"].stdout
        beat = time.monotonic()
        while True:
            try:
                line = await asyncio.wait_for(lines.readline(), 1.2)
            except asyncio.TimeoutError:
                line = None
            if line == b"":
                return
            if line:
                event = json.loads(line)
                event["at"] = time.monotonic()
                runner["events"].append(event)
                if event["event"] == "place":
                    runner["layers"] = event["layers"]
                    runner["sequence"] = event["sequence"]
                    await self.publish(runner)
                else:
                    self.record.line(f"runner {runner['id']} {json.dumps(event)}")
            if time.monotonic() - beat >= 1.2:
                beat = time.monotonic()
                await self.publish(runner)

    async def publish(self, runner):
        if runner["dead"] or not runner["listed"]:
            return
        spec = runner["spec"]
        entry = {"service": spec["service"], "address": "%s:%d" % runner["address"],
                 "zone": runner["zone"], "version": "v1", "slots": spec.get("slots", 6),
                 "state": runner["state"], "coldLeftMs": 0, "sequence": runner["sequence"],
                 "born": runner["born"]}
        if spec.get("card"):
            model = {"name": "m0", "version": 1, "adapters": []}
            if runner["layers"]:
                model["layers"] = runner["layers"]
            entry.update({"type": spec["card"], "stage": "both", "models": [model]})
        await self.store.put("servers", runner["id"], json.dumps(entry).encode())

    def tell(self, runner, **command):
        runner["process"].stdin.write((json.dumps(command) + "\n").encode())

    async def ready(self, wait=20.0):
        """Waits until all nodes say that they are ready."""
        end = time.monotonic() + wait
        for place in self.nodes:
            while True:
                answer = await call(place["ready"], "GET", "/v1/ready", "ready", 1000)
                if answer.status == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun(f"{place['name']} is not ready: {answer.status} {answer.cause}")
                await asyncio.sleep(0.1)

    def stop(self):
        for process in self.processes:
            if process.returncode is None and getattr(process, "poll", lambda: None)() is None:
                try:
                    os.kill(process.pid, signal.SIGCONT)
                    os.kill(process.pid, signal.SIGKILL)
                except ProcessLookupError:
                    pass
        for process in self.processes:
            if isinstance(process, subprocess.Popen):
                process.wait()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, play, limit=110):
    """Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    async def guarded():
        # Connections that are open at the end of the run are no errors.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        deployment = Deployment(folder)
        try:
            return await asyncio.wait_for(play(deployment), limit)
        finally:
            deployment.stop()
            for runner in deployment.runners.values():
                await runner["process"].wait()

    try:
        broken, summary = asyncio.run(guarded())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print(f"could not run: {type(error).__name__} {error}")
        sys.exit(2)
    print(summary)
    with open(os.path.join(folder, "record.txt"), "a") as file:
        file.write(f"trouble={int(TROUBLE)} broken={broken} {summary}\n")
    sys.exit(1 if broken else 0)
