"""Starts the platform's programs on loopback before stand-ins of the platform.

The stand-ins keep to PROTOCOL.md: members of one service (`Group`, `Member`),
the provider's POST /promote (`Provider`), the operator (`put_configuration`)
and clients (`Client`). Where the page is silent they behave like sound ones.
Only the standard library is used.
"""

import asyncio
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
GRACE_S = 6
HEARTBEAT_S = 1.2
# A check-in that no node acknowledged is tried again after this.
RETRY_S = 0.2
DRAIN_S = 7.0
PROMOTE_S = 0.3
REPLICATION_S = 0.02
ZONES = {"nh-a": "noord-holland", "gl-a": "gelderland", "nb-a": "noord-brabant"}
SERVICE = "huvo11a"
HOSTS = {"primary": "lepu270", "bounded": "xapu221", "session": "fiti832"}


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, with the time in seconds."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write("%9.3f  %s\n" % (self.now(), text))
        self.file.flush()


def free_ports(count):
    """Ports that are free at every loopback address."""
    held = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind(("0.0.0.0", 0))
        held.append(probe)
    ports = [probe.getsockname()[1] for probe in held]
    for probe in held:
        probe.close()
    return ports


def free_port_pair():
    """Two adjacent free ports: a proxy's peers' port and the one after it."""
    for _ in range(200):
        (port,) = free_ports(1)
        if port > 60000:
            continue
        try:
            with socket.socket() as probe:
                probe.bind(("0.0.0.0", port + 1))
            return port
        except OSError:
            continue
    raise CannotRun("no adjacent free ports")


# ---------------------------------------------------------------- members


class Entry:
    """A commit in a member's log."""

    def __init__(self, term, number, writes):
        self.term = term
        self.number = number
        self.writes = writes  # [(statement id, item, data)]


class Group:
    """The members of one service and what they replicate."""

    def __init__(self, record):
        self.record = record
        self.members = []
        self.term = 1
        self.acknowledged = {}  # statement id -> (term, number), set by clients
        self.promotions = []
        self.on_promote = None

    def primary(self):
        leading = [m for m in self.members if m.alive and m.role == "primary"]
        return max(leading, key=lambda m: m.term) if leading else None

    def member(self, member_id):
        return next((m for m in self.members if m.id == member_id), None)

    async def replicate(self):
        """Replicas receive what the newest primary has, a little later."""
        while True:
            await asyncio.sleep(REPLICATION_S)
            leader = self.primary()
            if leader is None:
                continue
            for member in self.members:
                if member is leader or not member.alive:
                    continue
                if member.role == "primary" or member.deaf or member.paused:
                    continue
                if member.log != leader.log:
                    member.log = list(leader.log)
                member.term = leader.term
            async with leader.received:
                leader.received.notify_all()

    def replicated(self, leader, entry):
        return any(
            m is not leader and m.alive and entry in m.log for m in self.members
        )

    def promote(self, member):
        if member.role == "primary" or not member.alive:
            return
        self.term += 1
        member.role = "primary"
        member.term = self.term
        member.paused = 0
        for other in self.members:
            if other is not member and other.alive and other.role == "primary":
                other.role = "replica"
        self.promotions.append(member.id)
        self.record.write(
            "member %s leads term %d with %s" % (member.id, self.term, member.position())
        )
        if self.on_promote:
            self.on_promote(member)


class Member:
    """One member: the wire, its log, and its check-ins."""

    def __init__(self, group, member_id, host, port, zone, controls, role):
        self.group = group
        self.id = member_id
        self.host = host
        self.port = port
        self.zone = zone
        self.controls = controls  # [(host, port)]
        self.role = role
        self.term = 1
        self.log = []
        self.paused = 0
        self.deaf = False
        self.alive = False
        self.state = "ready"
        self.work_s = 0.005
        self.sequence = 0
        self.born = 0
        self.received = asyncio.Condition()
        self.connections = set()
        self.server = None
        self.beat = None
        group.members.append(self)

    def position(self):
        if not self.log:
            return "%d.0" % 1
        return "%d.%d" % (self.log[-1].term, self.log[-1].number)

    async def start(self):
        self.alive = True
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port, reuse_address=True
        )
        self.beat = asyncio.ensure_future(self.check_in())

    async def crash(self):
        """Ends at once, as a killed process does."""
        self.alive = False
        self.beat.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.connections.clear()

    async def restart(self, keeps_log):
        if not keeps_log:
            self.log = []
        newest = self.group.primary()
        if newest is not None and newest is not self:
            self.role = "replica"
        self.paused = 0
        await self.start()

    async def leave(self):
        """A planned shutdown: says so at once, serves on for drain_ms after the
        ack, deregisters and exits."""
        self.state = "draining"
        self.told = asyncio.Event()
        self.beat.cancel()
        self.beat = asyncio.ensure_future(self.check_in())
        await self.told.wait()
        await asyncio.sleep(DRAIN_S)
        for node in self.controls:
            try:
                path = "/instances/%s/deregister" % self.id
                status, _, _ = await call(node, "POST", path, None, 1.0)
            except (OSError, asyncio.TimeoutError, EOFError):
                continue
            if status // 100 == 2:
                break
        self.group.record.write("member %s exits" % self.id)
        await self.crash()

    async def check_in(self):
        target = self.controls[0]
        while True:
            acknowledged = False
            self.sequence += 1
            body = {
                "service": SERVICE,
                "addr": "%s:%d" % (self.host, self.port),
                "zone": self.zone,
                "version": "v1",
                "slots": 5,
                "state": self.state,
                "warmup_left_ms": 0,
                "db_role": self.role,
                "sequence": self.sequence,
                "born": self.born,
            }
            nodes = [target] + [c for c in self.controls if c != target]
            for node in nodes:
                try:
                    status, answer, served = await call(
                        node, "POST", "/instances/%s/heartbeat" % self.id, body, 1.0
                    )
                except (OSError, asyncio.TimeoutError, EOFError, ValueError):
                    continue
                if status // 100 != 2:
                    continue
                acknowledged = True
                if self.state == "draining":
                    self.told.set()
                target = served
                named = answer.get("heartbeat_addr")
                if named:
                    host, port = named.rsplit(":", 1)
                    target = (host, int(port))
                break
            await asyncio.sleep(HEARTBEAT_S if acknowledged else RETRY_S)

    # -- the wire

    async def serve(self, reader, writer):
        self.connections.add(writer)
        session = {"tx": False, "failed": False, "writes": [], "prepared": {}}
        try:
            opened = False
            while True:
                line = await reader.readline()
                if not line.endswith(b"\r\n"):
                    break
                text = line[:-2].decode()
                word, _, rest = text.partition(" ")
                if word == "STARTUP":
                    fields = rest.split(" ")
                    if fields[0] != SERVICE or (len(fields) > 2 and fields[2] != self.id):
                        writer.write(b"ERROR MISROUTED " + self.id.encode() + b"\r\n")
                        break
                    opened = True
                    await asyncio.sleep(0.012)
                    writer.write(("READY I %s\r\n" % self.position()).encode())
                elif word == "QUERY" and opened:
                    statement, _, body = rest.partition(" ")
                    answer = await self.answer(session, statement, body)
                    state = "E" if session["failed"] else "T" if session["tx"] else "I"
                    answer += "READY %s %s\r\n" % (state, self.position())
                    writer.write(answer.encode())
                else:
                    break
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError, UnicodeDecodeError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def status(self):
        return "ROW %s %d %s %d 0 0 %d\r\nDONE -\r\n" % (
            self.role, self.term, self.position(), self.paused, len(self.connections)
        )

    async def answer(self, session, statement, text):
        words = text.split(" ")
        if words[0] == "AFTER":
            term, number = (int(x) for x in words[1].split("."))
            held = self.log[-1] if self.log else Entry(1, 0, [])
            if (held.term, held.number) < (term, number):
                return "ERROR LAGGING %s\r\n" % self.id
            words = words[2:]
        verb = words[0]
        if verb == "STATUS":
            return self.status()
        if verb == "PAUSE":
            if self.role == "replica" and int(words[1]) > self.term:
                self.paused = int(words[1])
            return self.status()
        if verb == "RESUME":
            self.paused = 0
            return self.status()
        if verb == "STEPDOWN":
            if self.role == "primary" and self.term < int(words[1]):
                self.role = "replica"
            return self.status()
        if verb in ("SET", "RESET"):
            return "DONE -\r\n"
        if verb == "PREPARE":
            session["prepared"][words[1]] = words[2]
            return "DONE -\r\n"
        if verb == "EXECUTE":
            if words[1] not in session["prepared"]:
                return "ERROR NOSTMT %s\r\n" % words[1]
            verb = session["prepared"][words[1]]
            words = [verb] + words[2:]
        if verb == "BEGIN":
            if len(words) == 1 and self.role != "primary":
                return "ERROR READONLY %s\r\n" % self.id
            session["tx"] = True
            session["writes"] = []
            return "DONE -\r\n"
        if verb == "ROLLBACK":
            session["tx"] = session["failed"] = False
            session["writes"] = []
            return "DONE -\r\n"
        digest = "%s.%s" % (self.id, statement)
        if verb == "LOOKUP":
            self.group.record.write("member %s runs %s %s" % (self.id, statement, text))
            await asyncio.sleep(self.work_s)
            found = [
                data for entry in self.log for (_, item, data) in entry.writes
                if item == words[1]
            ]
            rows = "ROW %s\r\n" % found[-1] if found else ""
            return rows + "DONE %s\r\n" % digest
        if verb == "STORE":
            if self.role != "primary":
                return "ERROR READONLY %s\r\n" % self.id
            self.group.record.write("member %s runs %s %s" % (self.id, statement, text))
            await asyncio.sleep(self.work_s)
            session["writes"].append((statement, words[1], " ".join(words[2:])))
            if not session["tx"]:
                await self.commit(session)
            return "DONE %s\r\n" % digest
        if verb == "COMMIT":
            session["tx"] = False
            if session["writes"]:
                if self.role != "primary":
                    session["writes"] = []
                    return "ERROR READONLY %s\r\n" % self.id
                await self.commit(session)
            return "DONE %s\r\n" % digest
        return "ERROR MALFORMED %s\r\n" % verb

    async def commit(self, session):
        number = self.log[-1].number + 1 if self.log else 1
        entry = Entry(self.term, number, session["writes"])
        session["writes"] = []
        self.log.append(entry)
        async with self.received:
            await self.received.wait_for(lambda: self.group.replicated(self, entry))


# ---------------------------------------------------------------- HTTP


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def call(node, method, path, body, limit):
    """One call that follows two 307s; status, JSON and who answered."""

    async def once(host, port, target):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            text = json.dumps(body).encode() if body is not None else b""
            writer.write(
                ("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
                 "Content-Length: %d\r\nConnection: close\r\n\r\n"
                 % (method, target, host, len(text))).encode() + text
            )
            return await read_message(reader)
        finally:
            writer.close()

    host, port = node
    for _ in range(3):
        start, headers, text = await asyncio.wait_for(once(host, port, path), limit)
        status = int(start.split(" ")[1])
        if status != 307:
            break
        found = re.match(r"http://([^:/]+):(\d+)(/.*)", headers["location"])
        host, port = found.group(1), int(found.group(2))
    try:
        parsed = json.loads(text.decode() or "{}")
    except ValueError:
        parsed = {}
    return status, parsed, (host, port)


class Provider:
    """The provider's POST /promote, without a check of fences."""

    def __init__(self, group, host, port):
        self.group = group
        self.host = host
        self.port = port
        self.calls = []  # (seconds, holder, fence, member)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    async def serve(self, reader, writer):
        try:
            while True:
                start, headers, body = await read_message(reader)
                asked = json.loads(body.decode())
                member = self.group.member(asked["id"])
                call_seen = (
                    self.group.record.now(), headers.get("x-lease-holder"),
                    int(headers.get("x-fencing-token", "-1")), asked["id"],
                )
                self.calls.append(call_seen)
                self.group.record.write(
                    "provider sees %s holder %s fence %d for %s"
                    % (start, call_seen[1], call_seen[2], asked["id"])
                )
                status = "409 Conflict"
                if member is not None and member.alive:
                    status = "200 OK"
                    asyncio.get_event_loop().call_later(
                        PROMOTE_S, self.group.promote, member
                    )
                writer.write(
                    ("HTTP/1.1 %s\r\nContent-Type: application/json\r\n"
                     "Content-Length: 2\r\n\r\n{}" % status).encode()
                )
                await writer.drain()
        except (EOFError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


# ---------------------------------------------------------------- clients


class Client:
    """A session that waits for each answer."""

    numbers = 0

    def __init__(self, record, address, host, name):
        self.record = record
        self.address = address
        self.host = host
        self.name = name

    async def open(self, limit=2.0):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*self.address), limit
        )
        self.writer.write(("STARTUP %s %s\r\n" % (self.host, self.name)).encode())
        line = await asyncio.wait_for(self.reader.readline(), limit)
        if not line.startswith(b"READY I"):
            self.close()
            raise ConnectionError(line.decode().strip() or "closed")

    def close(self):
        self.writer.close()

    async def ask(self, text, limit=10.0):
        """Sends a statement. Returns its id and the lines of its answer up to
        READY; fewer lines if the connection ended before."""
        Client.numbers += 1
        statement = "%016x" % (0x5C0E7A2100000000 + Client.numbers)
        self.record.write("client %s sends %s %s" % (self.name, statement, text))
        lines = []
        try:
            self.writer.write(("QUERY %s %s\r\n" % (statement, text)).encode())
            while not lines or not lines[-1].startswith("READY"):
                line = await asyncio.wait_for(self.reader.readline(), limit)
                if not line.endswith(b"\r\n"):
                    break
                lines.append(line.decode()[:-2])
        except (ConnectionError, asyncio.TimeoutError):
            pass
        whole = bool(lines) and lines[-1].startswith("READY")
        self.record.write(
            "client %s gets %s %s%s"
            % (self.name, statement, " | ".join(lines), "" if whole else "  [cut off]")
        )
        return statement, lines, whole


# ---------------------------------------------------------------- programs


class Process:
    """A program of the deploy file."""

    def __init__(self, role, settings, folder):
        self.role = role
        self.settings = settings
        self.folder = folder
        self.child = None

    async def start(self):
        name = self.settings["node_name"]
        path = os.path.join(self.folder, name + ".yaml")
        template = os.path.join(ROOT, "deploy", self.role + ".yaml.template")
        with open(template) as file:
            text = file.read()
        with open(path, "w") as file:
            file.write(re.sub(r"\{\{([^}]*)\}\}", self.fill, text))
        program = {"proxy": "ferrysessiond", "control": "ferryfleetd"}[self.role]
        with open(os.path.join(self.folder, name + ".log"), "ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                os.path.join(ROOT, "target", program), "--settings", path,
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            )

    def fill(self, match):
        path, _, form = match.group(1).partition("|")
        value = self.settings
        for key in path.split("."):
            value = value[int(key)] if isinstance(value, list) else value[key]
        if form == "json" or isinstance(value, bool):
            return json.dumps(value)
        return str(value)

    def send(self, number):
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(number)

    async def end(self):
        if self.child is not None and self.child.returncode is None:
            self.child.kill()
            await self.child.wait()


class Fleet:
    """Three processes of control and some proxies before a service of three
    members."""

    def __init__(self, record, proxies=1):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="ferry-review-")
        self.proxy_count = proxies

    def control_host(self, number):
        return "127.0.0.%d" % (111 + number)

    def proxy_host(self, number):
        return "127.0.0.%d" % (121 + number)

    async def start(self):
        control_port, client_port, ready_port, provider_port, member_port, metrics = (
            free_ports(6)
        )
        self.client_port = client_port
        self.control_port = control_port
        self.ready_port = ready_port
        peer_port = free_port_pair()
        self.group = Group(self.record)
        controls = [(self.control_host(i), control_port) for i in range(3)]
        self.controls_at = controls
        for i, zone in enumerate(ZONES):
            Member(
                self.group, "i-7f3a91c%d" % i, "127.0.0.%d" % (131 + i), member_port,
                zone, controls, "primary" if i == 0 else "replica",
            )
        self.provider = Provider(self.group, "127.0.0.141", provider_port)
        await self.provider.start()
        for member in self.group.members:
            await member.start()
        self.replication = asyncio.ensure_future(self.group.replicate())
        seeds = ["%s:%d" % at for at in controls]
        common = {
            "zones": ZONES, "seeds": seeds, "bounds": {"grace_s": GRACE_S},
            "fault_tolerance": {"machine_count": 1}, "bootstrap": True,
        }
        zones = list(ZONES)
        self.controls = []
        for i in range(3):
            disk = os.path.join(self.folder, "disk-%d" % i)
            os.mkdir(disk)
            self.controls.append(Process("control", dict(
                common, node_name="core-%d" % i, ip=self.control_host(i),
                zone=zones[i], internal_ports=[peer_port, metrics],
                listen={"control_plane": "%s:%d" % controls[i]}, data_dir=disk,
                cloud_api={"addr": "127.0.0.141:%d" % provider_port},
            ), self.folder))
        self.proxies = []
        for i in range(self.proxy_count):
            host = self.proxy_host(i)
            self.proxies.append(Process("proxy", dict(
                common, node_name="edge-%d" % i, ip=host, zone=zones[i % 3],
                internal_ports=[peer_port, metrics],
                listen={"frontend": "%s:%d" % (host, client_port),
                        "ready": "%s:%d" % (host, ready_port)},
            ), self.folder))
        for process in self.controls + self.proxies:
            await process.start()
        await self.put_configuration(7)
        await self.await_service()

    async def add_member(self, member_id, host, zone):
        """A new member that starts as a replica without a log."""
        old = self.group.members[0]
        member = Member(
            self.group, member_id, host, old.port, zone, self.controls_at, "replica"
        )
        member.term = self.group.term
        await member.start()
        return member

    async def put_configuration(self, version):
        routes = []
        for kind, host in HOSTS.items():
            routes.append({
                "name": "r-" + kind, "host": host, "prefix": "/", "kind": kind,
                "timeout_ms": 3000 if kind == "bounded" else 1000, "slo_ms": 1200,
                "priority": 1, "service": SERVICE, "attempts": 2,
                "max_staleness_ms": {"primary": 0, "bounded": 1500, "session": 2500}[kind],
            })
        document = {
            "version": version, "routes": routes,
            "services": [{"name": SERVICE, "health_path": "/healthz", "max_conns": 76,
                          "protocol": "h1", "tls": False, "sync_replicas": 1}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                       "tx_idle_ms": 3000},
        }
        for _ in range(60):
            for node in self.controls_at:
                try:
                    status, _, _ = await call(node, "POST", "/config/replace", document, 1.0)
                except (OSError, asyncio.TimeoutError, EOFError):
                    continue
                if status == 200:
                    self.record.write("operator: version %d acknowledged" % version)
                    return
            await asyncio.sleep(0.25)
        raise CannotRun("no configuration was acknowledged")

    def client(self, proxy, kind, name):
        return Client(
            self.record, (self.proxy_host(proxy), self.client_port), HOSTS[kind], name
        )

    async def await_service(self):
        """Waits until each proxy serves a write."""
        for proxy in range(self.proxy_count):
            for attempt in range(80):
                client = self.client(proxy, "primary", "warm-%d" % attempt)
                try:
                    await client.open()
                    _, lines, whole = await client.ask("STORE w%d x" % proxy, 2.0)
                    client.close()
                    if whole and lines[0].startswith("DONE"):
                        break
                except (OSError, asyncio.TimeoutError):
                    pass
                await asyncio.sleep(0.25)
            else:
                raise CannotRun("a proxy serves no write; see its log")
        self.record.write("the fleet serves")

    async def end(self, keep_logs_in=None):
        for process in getattr(self, "controls", []) + getattr(self, "proxies", []):
            await process.end()
        if keep_logs_in:
            for name in sorted(os.listdir(self.folder)):
                if name.endswith(".log"):
                    shutil.copy(os.path.join(self.folder, name), keep_logs_in)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, case, **options):
    """Runs a case; ends with 1 if the rule broke, 0 if it held, 2 if it could
    not run. TROUBLE=0 leaves the disruption out."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        record = Record(folder)
        fleet = Fleet(record, **options)
        try:
            await asyncio.wait_for(fleet.start(), 40)
            broken = await asyncio.wait_for(case(fleet, trouble), 70)
            record.write("verdict: " + (broken or "the rule held"))
            print(broken or "the rule held")
            return 1 if broken else 0
        except (CannotRun, OSError, asyncio.TimeoutError) as error:
            record.write("could not run: %r" % error)
            print("could not run: %r" % error)
            return 2
        finally:
            await fleet.end(os.environ.get("KEEP_LOGS_IN"))

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lambda: [t.cancel() for t in asyncio.all_tasks(loop)])
    try:
        code = loop.run_until_complete(run())
    except asyncio.CancelledError:
        code = 2
    os._exit(code) if code is None else sys.exit(code)
