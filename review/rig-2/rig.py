"""A small fleet on loopback for the cases of the second review.

Starts the project's own programs as the deploy file says, and plays the
platform, the members of one database and the operator for them. Needs nothing
but Python's standard library. Everything runs on the real clock.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SETTINGS_PATH = "/etc/lacewingferry/node.toml"
ZONES = {"nairobi-a": "nairobi", "mombasa-a": "mombasa", "kisumu-a": "kisumu"}
# A case that takes longer is given up, with the processes that it started.
LONGEST_CASE_S = 110
# The bounds of sites/wanjiru-ops.toml, as `fleetbench wire` prints them.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "ack_ms": 5000,
    "catch_up_s": 4, "drain_ms": 7000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 3000, "downgrade_slack_ms": 250, "max_skew_ms": 12000,
    "recovery_s": 12, "fencing": False, "thaw_ms": 300,
}
HEARTBEAT_S = 1.2
SERVICE = "works"
PORT_NAMES = ("peer", "metrics", "control", "client", "ready", "member",
              "platform")


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():9.3f}  {text}\n")
        self.file.flush()


def fill_template(text, settings):
    """Fills the placeholders of a settings template that this project uses."""

    def value_of(path):
        value = settings
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part)
            if value is None:
                return None
        return value

    def replace(match):
        name, _, form = match.group(1).partition("|")
        value = value_of(name)
        if form == "json":
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return str(value)

    return re.sub(r"\{\{([^}#^/]+)\}\}", replace, text)


def read_roles():
    """The run command and the template of each role of the deploy file."""
    roles = {}
    role = None
    for line in (ROOT / "deploy" / "system.toml").read_text().splitlines():
        section = re.match(r"\[roles\.(\w+)\]", line)
        entry = re.match(r'(run|template) = "(.*)"', line)
        if section:
            role = roles.setdefault(section.group(1), {})
        elif entry and role is not None:
            role[entry.group(1)] = entry.group(2)
    return roles


def free_network():
    """A random part of the loopback network and ports that are free in it."""
    for _ in range(50):
        prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}."
        base = random.randint(20000, 30000)
        # The programs choose among the ports up to the second one themselves.
        ports = {name: base + 15 * i for i, name in enumerate(PORT_NAMES)}
        try:
            for port in ports.values():
                with socket.socket() as probe:
                    probe.bind((prefix + "1", port))
            return prefix, ports
        except OSError:
            continue
    raise RuntimeError("no free ports")


async def http_call(host, port, method, path, body=None, headers=None,
                    limit=1.0):
    """One call; returns the status, the Location header and the body. A status
    of 0 says that there was no answer."""

    async def call():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            head = [f"{method} {path} HTTP/1.1", f"Host: {host}:{port}",
                    "Connection: close", f"Content-Length: {len(data)}"]
            if data:
                head.append("Content-Type: application/json")
            for name, value in (headers or {}).items():
                head.append(f"{name}: {value}")
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + data)
            answer = await reader.read()
        finally:
            writer.close()
        head, _, rest = answer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        location = ""
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name.lower() == "location":
                location = value.strip()
        return int(lines[0].split()[1]), location, rest

    try:
        return await asyncio.wait_for(call(), limit)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return 0, "", b""


async def call_control(fleet, method, path, body=None, first=0):
    """Calls the processes of control in turn, and follows a 307 twice."""
    status, answer, node = 0, b"", ""
    for i in range(len(fleet.control_hosts)):
        host = fleet.control_hosts[(first + i) % len(fleet.control_hosts)]
        port = fleet.ports["control"]
        for _ in range(3):
            status, location, answer = await http_call(host, port, method,
                                                       path, body)
            node = f"{host}:{port}"
            if status != 307:
                break
            host, port = re.match(r"http://([^:/]+):(\d+)", location).groups()
            port = int(port)
        if status == 200 or 400 <= status < 500:
            return status, answer, node
    return status, answer, node


class Member:
    """A member of the database: a log of its own and the lines of the wire."""

    def __init__(self, group, number, zone):
        self.group = group
        self.number = number
        self.zone = zone
        self.host = group.fleet.address(60 + number)
        self.port = group.fleet.ports["member"]
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.role = "primary" if number == 0 else "replica"
        self.term = 1
        self.paused = 0
        self.state = "ready"
        # Entries are (term, request id, [(item, data)]).
        self.log = []
        self.applied = 0
        self.alive = True
        # Receives nothing while it is set.
        self.deaf = False
        self.connections = set()
        self.busy = 0
        self.server = None
        self.beat_task = None
        self.beats_refused = 0

    def name(self):
        return f"{self.id}#{self.number}"

    def position(self, count=None):
        count = len(self.log) if count is None else count
        term = self.log[count - 1][0] if count else 1
        return f"{term}.{count}"

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port, limit=1 << 21)
        self.beat_task = asyncio.create_task(self.beat())

    async def beat(self):
        first = self.number
        while True:
            if self.alive:
                await self.check_in(first)
            await asyncio.sleep(HEARTBEAT_S)

    async def check_in(self, first=0):
        self.sequence += 1
        body = {"service": self.group.name, "addr": f"{self.host}:{self.port}",
                "zone": self.zone, "version": "v1", "slots": 8,
                "state": self.state, "warmup_left_ms": 0,
                "db_role": self.role, "sequence": self.sequence,
                "born": self.born}
        status, _, node = await call_control(
            self.group.fleet, "POST", f"/instances/{self.id}/heartbeat", body,
            first)
        if status != 200:
            self.beats_refused += 1
            if self.beats_refused <= 3 or self.beats_refused % 10 == 0:
                self.group.record.write(
                    f"check-in of {self.name()} gets {status} from {node}")
        return status

    async def come_back(self):
        """Starts again under its ID. A replica holds nothing of before; a member
        that led has its log."""
        self.alive = True
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.paused = 0
        if self.role != "primary":
            self.log = []
            self.applied = 0
        elif self.group.primary() not in (None, self):
            self.role = "replica"
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port, limit=1 << 21)
        await self.check_in(self.number)

    def crash(self):
        """Goes down: closes what it has and takes nothing more."""
        self.alive = False
        if self.server:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        if not self.alive:
            writer.transport.abort()
            return
        self.connections.add(writer)
        session = MemberSession(self, writer)
        try:
            while True:
                line = await reader.readline()
                if not line.endswith(b"\r\n"):
                    break
                if not await session.take(line[:-2].decode("latin-1")):
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class MemberSession:
    """One connection to a member."""

    def __init__(self, member, writer):
        self.member = member
        self.group = member.group
        self.writer = writer
        self.greeted = False
        self.values = {}
        self.prepared = {}
        # The writes of the open transaction; None outside of one.
        self.open = None
        self.failed = False

    def state(self):
        if self.open is None:
            return "I"
        return "E" if self.failed else "T"

    def ready(self):
        member = self.member
        count = len(member.log) if member.role == "primary" else member.applied
        return f"READY {self.state()} {member.position(count)}\r\n"

    async def take(self, line):
        word, _, rest = line.partition(" ")
        if word == "STARTUP":
            fields = rest.split(" ")
            wrong = fields[0] != self.group.name or (
                len(fields) > 2 and fields[2] != self.member.id)
            if wrong:
                self.writer.write(b"ERROR MISROUTED wrong\r\n")
                return False
            self.greeted = True
            self.writer.write(self.ready().encode("latin-1"))
            return True
        if word != "QUERY":
            return False
        request, _, text = rest.partition(" ")
        if request != "-":
            self.group.seen.setdefault(request, self.group.record.now())
        answer = await self.answer(request, text)
        if answer is None or not self.member.alive:
            return False
        self.writer.write((answer + self.ready()).encode("latin-1"))
        await self.writer.drain()
        return True

    async def answer(self, request, text):
        """Runs a request; returns its answer but for the READY line."""
        fault = self.group.fault(self, request, text)
        if fault == "slow":
            await asyncio.sleep(self.group.slow_s)
        answer = await self.run(request, text)
        if request != "-":
            self.group.record.write(
                f"member {self.member.name()} ran {request} [{text[:60]}]: "
                f"{answer.strip().splitlines()[-1] if answer else 'nothing'}"
                + (f", answered as {fault}" if fault else ""))
        if fault == "failed" and answer.startswith(("DONE", "ROW")):
            return "ERROR FAILED injected\r\n"
        return answer

    async def run(self, request, text):
        member = self.member
        verb, _, rest = text.partition(" ")
        if verb == "AFTER":
            wanted, _, rest = rest.partition(" ")
            verb, _, rest = rest.partition(" ")
            term, _, number = wanted.partition(".")
            have = member.applied if member.role != "primary" else len(
                member.log)
            if have < int(number):
                return f"ERROR LAGGING {member.id}\r\n"
        if verb in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self.administer(verb, rest)
        if verb == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return "DONE -\r\n"
        if verb == "RESET":
            self.values.clear()
            self.prepared.clear()
            return "DONE -\r\n"
        if verb == "PREPARE":
            name, _, rest = rest.partition(" ")
            kind, _, shape = rest.partition(" ")
            self.prepared[name] = (kind, shape)
            return "DONE -\r\n"
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return f"ERROR NOSTMT {name}\r\n"
            verb = self.prepared[name][0]
        if self.group.slots is not None and verb != "ROLLBACK":
            if member.busy >= self.group.slots:
                return f"ERROR BUSY {member.id}\r\n"
        member.busy += 1
        await asyncio.sleep(self.group.work_s)
        member.busy -= 1
        if verb == "BEGIN":
            if rest != "LOOKUP" and member.role != "primary":
                return f"ERROR READONLY {member.id}\r\n"
            self.open = []
            self.failed = False
            return "DONE -\r\n"
        if verb == "ROLLBACK":
            self.open = None
            return "DONE -\r\n"
        if verb == "COMMIT":
            writes, self.open = self.open or [], None
            if not writes:
                return self.done(request)
            return await self.commit(request, writes)
        if verb == "LOOKUP":
            return self.lookup(rest) + self.done(request)
        if verb == "STORE":
            if member.role != "primary":
                return f"ERROR READONLY {member.id}\r\n"
            item, _, data = rest.partition(" ")
            if self.open is not None:
                self.open.append((item, data))
                return self.done(request)
            return await self.commit(request, [(item, data)])
        return "ERROR MALFORMED what\r\n"

    def done(self, request):
        return f"DONE d.{request}.{self.member.id}\r\n"

    def lookup(self, item):
        member = self.member
        count = len(member.log) if member.role == "primary" else member.applied
        for _, _, writes in reversed(member.log[:count]):
            for name, data in writes:
                if name == item:
                    return f"ROW {data}\r\n"
        return ""

    async def commit(self, request, writes):
        member = self.member
        if member.role != "primary":
            return f"ERROR READONLY {member.id}\r\n"
        member.log.append((member.term, request, writes))
        count = len(member.log)
        while member.alive:
            if await self.group.is_received(member, count):
                return self.done(request)
            if member.role != "primary":
                return "ERROR FAILED replaced\r\n"
        return None

    def administer(self, verb, rest):
        member = self.member
        if verb == "PAUSE" and member.role == "replica":
            if int(rest) > member.term:
                member.paused = int(rest)
        elif verb == "RESUME":
            member.paused = 0
        elif verb == "STEPDOWN" and member.role == "primary":
            if member.term < int(rest):
                member.role = "replica"
        lag = len(member.log) - member.applied
        return (f"ROW {member.role} {member.term} {member.position()} "
                f"{member.paused} {lag} 0 {len(member.connections)}\r\n"
                "DONE -\r\n")


class Group:
    """The members of one database, and how they replicate."""

    def __init__(self, fleet, record, members=3):
        self.fleet = fleet
        self.record = record
        self.name = SERVICE
        self.work_s = 0.003
        self.slow_s = 0.4
        # Requests that a member runs at once; None for no limit.
        self.slots = None
        self.receive_s = 0.002
        self.apply_s = 0.02
        self.promote_s = 0.6
        self.fault = lambda session, request, text: ""
        # Whether two members reach each other.
        self.connected = lambda one, other: True
        self.promotions = []
        # When each client's request first reached a member.
        self.seen = {}
        zones = list(ZONES)
        self.members = [Member(self, i, zones[i % 3]) for i in range(members)]

    async def start(self):
        for member in self.members:
            await member.start()
        asyncio.create_task(self.replicate())

    def primary(self):
        leaders = [m for m in self.members if m.role == "primary" and m.alive]
        return max(leaders, key=lambda m: m.term, default=None)

    async def replicate(self):
        """Replicas follow the primary of the newest term that they reach."""
        while True:
            await asyncio.sleep(self.receive_s)
            for member in self.members:
                if member.alive:
                    self.follow(member)

    def follow(self, member):
        leaders = [m for m in self.members
                   if m.alive and m.role == "primary" and m is not member
                   and self.connected(m, member)]
        leader = max(leaders, key=lambda m: m.term, default=None)
        if leader is None or leader.term < member.term:
            return
        if member.role == "primary":
            member.role = "replica"
        if member.paused or member.deaf:
            return
        member.term = leader.term
        if member.log[:len(leader.log)] != leader.log[:len(member.log)]:
            kept = 0
            while (kept < min(len(member.log), len(leader.log))
                   and member.log[kept] == leader.log[kept]):
                kept += 1
            lost = [entry[1] for entry in member.log[kept:]]
            self.record.write(
                f"member {member.name()} rolls back {lost}")
            del member.log[kept:]
        if len(member.log) > len(leader.log):
            lost = [entry[1] for entry in member.log[len(leader.log):]]
            self.record.write(
                f"member {member.name()} rolls back {lost}")
            del member.log[len(leader.log):]
        member.applied = min(member.applied, len(member.log))
        if len(member.log) < len(leader.log):
            member.log.extend(leader.log[len(member.log):])
        count = len(member.log)
        if member.applied < count:
            asyncio.get_running_loop().call_later(
                self.apply_s, self.apply, member, count)

    @staticmethod
    def apply(member, count):
        member.applied = max(member.applied, min(count, len(member.log)))

    async def is_received(self, primary, count):
        await asyncio.sleep(self.receive_s)
        entry = primary.log[count - 1] if len(primary.log) >= count else None
        for member in self.members:
            if member is primary or not member.alive:
                continue
            if len(member.log) >= count and member.log[count - 1] is entry:
                return True
        return False

    async def promote(self, service, member_id, holder, fence):
        member = next((m for m in self.members if m.id == member_id), None)
        running = member is not None and member.alive
        self.record.write(f"promote {member.name() if member else member_id} "
                          f"by {holder}, fence {fence}, running {running}")
        if service != self.name or not running:
            return 409
        if member.role != "primary" or member is not self.primary():
            asyncio.get_running_loop().call_later(self.promote_s,
                                                  self.take_lead, member)
        return 200

    def take_lead(self, member):
        if not member.alive or member is self.primary():
            return
        member.term = max(m.term for m in self.members) + 1
        member.role = "primary"
        member.paused = 0
        self.promotions.append((member, list(member.log)))
        self.record.write(f"member {member.name()} leads term {member.term} "
                          f"with {len(member.log)} entries")
        for other in self.members:
            if self.connected(member, other):
                other.paused = 0


class Platform:
    """Answers POST /promote."""

    def __init__(self, fleet, group):
        self.fleet = fleet
        self.group = group

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.fleet.address(2), self.fleet.ports["platform"])

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            headers = {}
            for line in head.split("\r\n")[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            size = int(headers.get("content-length", "0"))
            body = json.loads(await reader.readexactly(size))
            status = await self.group.promote(
                body["service"], body["id"], headers.get("x-lease-holder"),
                headers.get("x-fencing-token"))
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n"
                         "Connection: close\r\n\r\n".encode())
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, KeyError):
            pass
        finally:
            writer.close()


class Fleet:
    """The project's programs, each at a loopback address of its own."""

    def __init__(self, record, proxies=2, controls=3):
        self.record = record
        self.prefix, self.ports = free_network()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="ferry-review-"))
        self.roles = read_roles()
        self.control_hosts = [self.address(10 + i) for i in range(controls)]
        self.proxy_hosts = [self.address(30 + i) for i in range(proxies)]
        self.processes = {}
        self.exits = []
        self.stopped = False

    def address(self, number):
        return f"{self.prefix}{number}"

    def settings_of(self, role, number):
        control = role == "control"
        host = (self.control_hosts if control else self.proxy_hosts)[number]
        zone = list(ZONES)[number % 3]
        ports = self.ports
        settings = {
            "node_name": f"{'core' if control else 'edge'}-{zone}-{number}",
            "role": role, "ip": host, "zone": zone, "region": ZONES[zone],
            "internal_ports": [ports["peer"], ports["metrics"]],
            "seeds": [f"{h}:{ports['control']}"
                      for h in self.control_hosts[:3]],
            "bootstrap": True, "zones": ZONES, "bounds": BOUNDS,
            "fault_tolerance": {"machine_count": 1, "zones": 0,
                                "region_count": 0},
            "cloud_api": {"addr": f"{self.address(2)}:{ports['platform']}"},
        }
        if control:
            folder = self.folder / settings["node_name"]
            folder.mkdir(exist_ok=True)
            settings["data_dir"] = str(folder)
            settings["listen"] = {
                "control_plane": f"{host}:{ports['control']}"}
        else:
            settings["listen"] = {"frontend": f"{host}:{ports['client']}",
                                  "ready": f"{host}:{ports['ready']}"}
        return settings

    async def start(self, role, number):
        if self.stopped:
            raise RuntimeError("the fleet was stopped")
        settings = self.settings_of(role, number)
        name = settings["node_name"]
        path = self.folder / f"{name}.yaml"
        template = (ROOT / self.roles[role]["template"]).read_text()
        path.write_text(fill_template(template, settings))
        words = [str(path) if w == SETTINGS_PATH else w
                 for w in self.roles[role]["run"].split()]
        log = open(self.folder / f"{name}.log", "ab")
        process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "LACEWINGFERRY_CONFIG": str(path)})
        log.close()
        self.processes[(role, number)] = process
        asyncio.create_task(self.watch(name, process))
        return process

    async def watch(self, name, process):
        code = await process.wait()
        self.exits.append((name, code))
        self.record.write(f"process {name} ended with {code}")

    async def start_all(self, spares=0):
        for i in range(len(self.control_hosts)):
            await self.start("control", i)
        for i in range(len(self.proxy_hosts) - spares):
            await self.start("proxy", i)

    def signal(self, role, number, what):
        process = self.processes[(role, number)]
        if process.returncode is None:
            process.send_signal(what)

    def log_of(self, role, number):
        name = self.settings_of(role, number)["node_name"]
        return (self.folder / f"{name}.log").read_text(errors="replace")

    async def put(self, configuration, limit_s=20):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            status, _, _ = await call_control(self, "POST", "/config/replace",
                                              configuration)
            if status == 200 or 400 <= status < 500:
                self.record.write(f"configuration {configuration['version']} "
                                  f"gets {status}")
                return status
            await asyncio.sleep(0.2)
        raise RuntimeError("no answer to the configuration")

    async def await_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        for role, number in list(self.processes):
            if role != "proxy":
                continue
            host = self.proxy_hosts[number]
            while True:
                status, _, _ = await http_call(host, self.ports["ready"], "GET",
                                               "/readyz")
                if status == 200:
                    break
                if time.monotonic() > end:
                    raise RuntimeError(f"proxy {host} isn't ready")
                await asyncio.sleep(0.1)

    def kill_all(self):
        self.stopped = True
        for process in self.processes.values():
            if process.returncode is None:
                try:
                    process.kill()
                except ProcessLookupError:
                    pass

    async def stop(self):
        self.kill_all()
        for process in self.processes.values():
            await process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, timeout_ms=800, max_connections=64):
    """One route of each kind to the one database."""

    def route(kind, staleness, slo):
        return {"name": f"r-{kind}", "host": kind, "prefix": "/", "kind": kind,
                "timeout_ms": timeout_ms, "slo_ms": slo, "priority": 1,
                "service": SERVICE, "attempts": 2,
                "max_staleness_ms": staleness}

    return {"version": version,
            "routes": [route("primary", 0, 500), route("bounded", 1500, 500),
                       route("session", 2500, 500)],
            "services": [{"name": SERVICE, "health_path": "/healthz",
                          "max_conns": max_connections, "protocol": "h1",
                          "tls": False, "sync_replicas": 1}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                       "tx_idle_ms": 3000}}


class Client:
    """A session at a proxy."""

    def __init__(self, fleet, record, proxy, host, name="client"):
        self.fleet = fleet
        self.record = record
        self.proxy = proxy
        self.host = host
        self.name = name
        self.reader = None
        self.writer = None

    async def open(self, key="u1"):
        self.reader, self.writer = await asyncio.open_connection(
            self.fleet.proxy_hosts[self.proxy], self.fleet.ports["client"],
            limit=1 << 21)
        self.writer.write(f"STARTUP {self.host} {key}\r\n".encode())
        line = await asyncio.wait_for(self.reader.readline(), 2)
        return line.decode("latin-1").strip()

    def send(self, text, request=None):
        request = request or f"{random.getrandbits(64):016x}"
        self.record.write(f"{self.name} sends {request} [{text[:60]}]")
        self.writer.write(f"QUERY {request} {text}\r\n".encode("latin-1"))
        return request

    async def answer(self, request, limit_s=10):
        """The lines of an answer; None if the connection ended before READY,
        or if no answer came."""
        lines = []

        async def read():
            while True:
                line = await self.reader.readline()
                if not line.endswith(b"\r\n"):
                    return None
                lines.append(line[:-2].decode("latin-1"))
                if lines[-1].startswith("READY"):
                    return lines

        try:
            whole = await asyncio.wait_for(read(), limit_s)
            what = " | ".join(lines) if whole else "END of the connection"
        except asyncio.TimeoutError:
            whole, what = None, "no answer in time"
        except OSError as error:
            whole, what = None, f"END of the connection ({error})"
        self.record.write(f"{self.name} gets {request}: {what}")
        return whole

    async def ask(self, text, limit_s=10):
        request = self.send(text)
        return await self.answer(request, limit_s)

    def close(self):
        if self.writer:
            self.writer.close()


def succeeded(answer):
    return answer is not None and any(l.startswith("DONE") for l in answer)


def code_of(answer):
    if answer is None:
        return "END"
    for line in answer:
        if line.startswith("ERROR"):
            return line.split()[1]
    return "DONE"


class Setting:
    """What a case gets: a fleet that serves."""

    def __init__(self, record, fleet, group, trouble):
        self.record = record
        self.fleet = fleet
        self.group = group
        self.trouble = trouble
        # Set when clients shall end.
        self.over = False


async def run_case(case, fleet, record, trouble, options):
    group = Group(fleet, record, options.get("members", 3))
    try:
        await group.start()
        await Platform(fleet, group).start()
        await fleet.start_all(options.get("spares", 0))
        await fleet.put(options.get("configuration") or configuration(1))
        await fleet.await_ready()
        return await case(Setting(record, fleet, group, trouble))
    finally:
        if os.environ.get("KEEP"):
            shutil.copytree(fleet.folder, os.environ["KEEP"],
                            dirs_exist_ok=True)
        await fleet.stop()


def main(case, folder, **options):
    """Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the
    case couldn't run."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"begins, {'with' if trouble else 'without'} the disruption")
    fleet = Fleet(record, proxies=options.get("proxies", 2))

    async def run():
        loop = asyncio.get_running_loop()
        loop.call_later(LONGEST_CASE_S, give_up, "it took too long")
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, give_up, f"signal {number}")
        try:
            broken = await run_case(case, fleet, record, trouble, options)
        except Exception as error:  # Whatever it is, the case couldn't run.
            finish(2, f"couldn't run: {type(error).__name__}: {error}")
        finish(1 if broken else 0, f"BROKEN: {broken}" if broken else "held")

    def give_up(reason):
        fleet.kill_all()
        shutil.rmtree(fleet.folder, ignore_errors=True)
        finish(2, f"couldn't run: {reason}")

    def finish(code, verdict):
        record.write(verdict)
        print(verdict, flush=True)
        # The programs have ended; tasks of the stand-ins that are left over
        # must not hold up the end of this process.
        os._exit(code)

    asyncio.run(run())
