"""Helpers of the cases from 6 on: free ports, the project's programs, a relay with a cut, stand-ins for servers and
discovery. Standard library only; every address is a loopback address."""

import asyncio
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case can't run here; says nothing about the rule."""


def deploy_command(key):
    """The command of the deploy file, such as `run`."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        for line in file:
            name, _, rest = line.partition("=")
            if name.strip() == key:
                return rest.strip().split('"')[1]
    raise NotRun(f"deploy/balancer.toml has no {key}")


_next_port = 12000 + os.getpid() % 170 * 100


def free_port():
    """A port that is free for TCP and UDP, given out once. Below the range that the system takes for outgoing connections, so
    that none of those takes it meanwhile; each run begins at another place, so that two at a time do not meet."""
    global _next_port
    for _ in range(2000):
        port = _next_port
        _next_port = 12000 + (port + 1 - 12000) % 17000
        try:
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp, socket.socket(
                socket.AF_INET, socket.SOCK_DGRAM
            ) as udp:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
        except OSError:
            continue
        return port
    raise NotRun("no free port")


class Case:
    """Folder, record and processes of one run."""

    def __init__(self, folder):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.processes = []
        self.note(f"TROUBLE={1 if TROUBLE else 0}")

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        with self.lock:
            self.record.write(f"{self.now():8.3f} {text}\n")
            self.record.flush()

    def start(self, command, name, env=None, shell=False, new_group=False):
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        process = subprocess.Popen(
            ["/bin/sh", "-c", command] if shell else command,
            cwd=ROOT,
            env={**os.environ, **(env or {})},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            start_new_session=new_group,
        )
        log.close()
        self.processes.append(process)
        self.note(f"{name}: started")
        return process

    def log_of(self, name):
        try:
            with open(os.path.join(self.folder, f"{name}.log"), errors="replace") as file:
                return file.read()
        except OSError:
            return ""

    def signal(self, process, number, name):
        self.note(f"{name}: {signal.Signals(number).name}")
        process.send_signal(number)

    def close(self):
        for process in reversed(self.processes):
            if process.poll() is None:
                for number in (signal.SIGCONT, signal.SIGKILL):
                    try:
                        process.send_signal(number)
                    except ProcessLookupError:
                        pass
                process.wait()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, play):
    """Plays the case; its result is the exit code."""
    case = Case(folder)
    # A run that is told to end has to end what it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    code = NOT_RUN
    try:
        code = play(case)
    except NotRun as problem:
        case.note(f"not run: {problem}")
        print(f"not run: {problem}")
    except Exception as problem:  # noqa: BLE001: whatever it is, it is no verdict on the rule
        case.note(f"not run: {problem!r}")
        print(f"not run: {problem!r}")
    finally:
        verdict = {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "the case could not run"}[code]
        case.note(verdict)
        print(verdict)
        case.close()
    sys.exit(code)


def call(port, method, path, timeout=1.5):
    """Status and body of a call without a body; None if none comes."""
    try:
        connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
        connection.request(method, path, headers={"Connection": "close"})
        answer = connection.getresponse()
        body = answer.read().decode(errors="replace")
        connection.close()
        return answer.status, body
    except (OSError, http.client.HTTPException):
        return None


def wait_for(condition, seconds, what):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if condition():
            return
        time.sleep(0.05)
    raise NotRun(f"{what}: not within {seconds} s")


def settings(**changes):
    """The settings of deploy/example.json, with these changes."""
    with open(os.path.join(ROOT, "deploy", "example.json")) as file:
        example = json.load(file)["settings"]
    example.update(changes)
    return example


class Node:
    """One node, started with the deploy file's command."""

    def __init__(self, case, name, config, discovery):
        self.case, self.name = case, name
        self.listen, self.admin = free_port(), free_port()
        self.file = os.path.join(case.folder, f"{name}.json")
        self.discovery = discovery
        self.config = {"seed": "8c1f30d27a5be964", "admin": f"{HOST}:{self.admin}", **config}
        self.write()
        self.process = None

    def write(self):
        with open(self.file + ".new", "w") as file:
            json.dump(self.config, file)
        os.rename(self.file + ".new", self.file)

    def start(self):
        temporary = os.path.join(self.case.folder, f"{self.name}.tmp")
        os.makedirs(temporary, exist_ok=True)
        env = {
            "ROUTER_NAME": self.name,
            "ROUTER_LISTEN": f"{HOST}:{self.listen}",
            "ROUTER_DISCOVERY": f"{HOST}:{self.discovery}",
            "ROUTER_CONFIG": self.file,
            "TMPDIR": temporary,
        }
        self.process = self.case.start(deploy_command("run"), self.name, env, shell=True)

    def wait_until_up(self):
        def up():
            if self.process.poll() is not None:
                raise NotRun(f"{self.name} ended: {self.case.log_of(self.name)[-300:]}")
            answer = call(self.listen, "GET", "/up")
            return answer is not None and answer[0] == 200

        wait_for(up, 20, f"{self.name} says that it is up")


class Relay:
    """The way from one process to another, for UDP and TCP on one port. While it is cut, datagrams are dropped and streams
    stand still; what was written to them goes on afterwards, as after a partition."""

    def __init__(self, target):
        self.port, self.target, self.is_cut = free_port(), target, False

    async def start(self):
        loop = asyncio.get_running_loop()
        relay = self

        class Datagrams(asyncio.DatagramProtocol):
            def connection_made(self, transport):
                self.transport = transport

            def datagram_received(self, data, _):
                if not relay.is_cut:
                    self.transport.sendto(data, (HOST, relay.target))

        await loop.create_datagram_endpoint(Datagrams, local_addr=(HOST, self.port))
        await asyncio.start_server(self.stream, HOST, self.port)

    async def open(self):
        while self.is_cut:
            await asyncio.sleep(0.01)

    async def stream(self, reader, writer):
        await self.open()
        try:
            other_reader, other_writer = await asyncio.open_connection(HOST, self.target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.pump(reader, other_writer), self.pump(other_reader, writer))

    async def pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(16384)
                await self.open()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()


class Relays:
    """All relays, on a thread of their own."""

    def __init__(self, relays):
        self.relays, self.failure = relays, None
        ready = threading.Event()

        def serve():
            async def all_of_them():
                try:
                    for relay in relays:
                        await relay.start()
                except OSError as problem:
                    self.failure = problem
                ready.set()
                await asyncio.sleep(3600)

            asyncio.run(all_of_them())

        threading.Thread(target=serve, daemon=True).start()
        ready.wait(10)
        if self.failure:
            raise NotRun(f"relay: {self.failure}")


def voters(case, count, duties, cut_of=None, zones=None, **cluster):
    """So many nodes that are voters of one installation. With `cut_of`, the ways between that one and all others are relays,
    which are returned. `zones` names the zones of some; the others are in zone a."""
    discovery = free_port()
    names = [f"n{number}" for number in range(count)]
    ports = {name: free_port() for name in names}
    ways = {}
    for name in names:
        for other in names:
            if name != other and cut_of in (name, other):
                ways[name, other] = Relay(ports[other])
    nodes = {}
    for name in names:
        peers = {other: f"{HOST}:{way.port}" for (user, other), way in ways.items() if user == name}
        seeds = [f"{HOST}:{ports[other]}" for other in names if other != name and other not in peers]
        config = {
            "limits": {"memory_mb": 192, "sockets": 1024},
            "known": {"generation": 1, "reset": True, "instances": []},
            "settings": settings(),
            "cluster": {
                "installation": "review",
                "zone": (zones or {}).get(name, "a"),
                "listen": f"{HOST}:{ports[name]}",
                "seeds": seeds,
                "peers": peers,
                "folder": os.path.join(case.folder, f"{name}.state"),
                "voters": names,
                "duties": duties,
                **cluster,
            },
        }
        nodes[name] = Node(case, name, config, discovery)
    Relays(list(ways.values()))
    for node in nodes.values():
        node.start()
    for node in nodes.values():
        node.wait_until_up()

    def has_leader(node):
        answer = call(node.admin, "GET", "/_duties")
        return answer is not None and answer[0] == 200 and json.loads(answer[1])["duties"] is not None

    for node in nodes.values():
        wait_for(lambda: has_leader(node), 30, f"{node.name} hears a leader of the voters")
    return nodes, list(ways.values())


PEARFRONT = os.path.join(ROOT, "target", "release", "pearfront")


class Discovery:
    """Discovery by PROTOCOL.md: the whole list, and watches that tell what changed."""

    def __init__(self, case, instances):
        self.case, self.port, self.version = case, free_port(), 1
        self.instances, self.changed_at = {}, {}
        self.condition = threading.Condition()
        for instance in instances:
            self.instances[instance["instanceId"]] = instance
            self.changed_at[instance["instanceId"]] = 1
        serve_http(self.port, self.answer)

    def known(self):
        return {"generation": self.version, "reset": True, "instances": list(self.instances.values())}

    def tell(self, instance):
        with self.condition:
            self.version += 1
            self.instances[instance["instanceId"]] = instance
            self.changed_at[instance["instanceId"]] = self.version
            self.condition.notify_all()
        self.case.note(f"discovery: version {self.version}: {json.dumps(instance)}")

    def answer(self, request):
        path, _, query = request.path.partition("?")
        if path != "/discovery/hosts":
            return 404, b""
        asked = dict(part.split("=") for part in query.split("&") if "=" in part)
        with self.condition:
            if "from" not in asked:
                return 200, json.dumps(self.known()).encode()
            since, held = int(asked["from"]), min(float(asked.get("hold_ms", 0)), 60000) / 1000
            self.condition.wait_for(lambda: self.version > since, held)
            changed = [self.instances[name] for name, at in self.changed_at.items() if at > since]
            body = {"generation": self.version, "reset": False, "instances": changed}
            return 200, json.dumps(body).encode()


class Request:
    def __init__(self, method, path, headers, body):
        self.method, self.path, self.headers, self.body = method, path, headers, body


RESET = object()


def serve_http(port, answer):
    """Serves HTTP/1.1 on that port, a thread a connection. `answer` gets a whole request, and gives status and body, or RESET,
    which resets the connection instead."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, port))
    listener.listen(256)

    def serve(connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        file = connection.makefile("rb")
        try:
            while True:
                line = file.readline(65536)
                if not line:
                    break
                method, path, _ = line.decode("latin-1").split(" ", 2)
                headers = {}
                while True:
                    line = file.readline(65536)
                    if line in (b"\r\n", b"\n", b""):
                        break
                    name, _, value = line.decode("latin-1").partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = b""
                if "chunked" in headers.get("transfer-encoding", ""):
                    while True:
                        length = int(file.readline(1024).split(b";")[0], 16)
                        body += file.read(length)
                        file.readline(1024)
                        if length == 0:
                            break
                else:
                    body = file.read(int(headers.get("content-length", 0)))
                result = answer(Request(method, path, headers, body))
                if result is RESET:
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                    break
                status, content = result
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(content)}\r\n\r\n"
                connection.sendall(head.encode() + content)
        except (OSError, ValueError):
            pass
        file.close()
        connection.close()

    def accept():
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=serve, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


def instance(name, port, zone, lifecycle="Ready", started_ms=0, cell=0):
    return {
        "instanceId": name,
        "hostPort": f"{HOST}:{port}",
        "zone": zone,
        "machineType": "m1",
        "cell": cell,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": started_ms,
    }
