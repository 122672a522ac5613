"""A small deployment in this process, on real sockets."""

import asyncio
import contextlib
import gc
import pathlib
import re
import runpy
import signal
import socket
import threading

from anvilwell_daemon.config import settings
from anvilwell_daemon.process import factories
from anvilwell_daemon.process import runner
from anvilwell_standins.engine import server as engines
from anvilwell_standins.engine import weights
from anvilwell_standins.keyvalue import server as keyvalues
from anvilwell_standins import plain
from anvilwell_standins import scorer
from anvilwell_standins import vmlist
from anvilwell_standins import weightstore
import loop_thread
import urllib3

LIMIT_S = 60.0
LEASE_S = 3.0
DOMAINS = ("ljubljana-hall", "kamnik-hall", "domzale-hall")
SCRIPTS = pathlib.Path(__file__).parents[4] / "scripts"
TEMPLATES = SCRIPTS / "templates"
# The demo's choice of ports, which is a script.
free_ports = runpy.run_path(str(SCRIPTS / "lib" / "ports.py"))["free_ports"]
_PLACEHOLDER = re.compile("@([A-Z]+)@")


def render(template, **values):
    """Return the demo's template with `values` filled in."""
    text = (TEMPLATES / template).read_text(encoding="utf-8")
    return _PLACEHOLDER.sub(lambda match: str(values[match[1]]), text)


class Daemon:
    """One entry or agent: its kernel and its addresses."""

    def __init__(self, name, text):
        self.name = name
        self.settings = settings.loads(text, name)
        self._loop = loop_thread.LoopThread()
        self._is_killed = False
        self.kernel = self._build()

    @property
    def url(self):
        """Where callers reach an entry."""
        return f"http://{self.settings.entry.listen}"

    @property
    def admin_url(self):
        """Where operators reach a daemon."""
        return f"http://{self.settings.admin}"

    def start(self):
        """Start every service."""
        self._loop.run(self.kernel.start())

    def begin_drain(self):
        """Begin to drain; return a future of its end."""
        return self._loop.submit(self.kernel.drain())

    def restart(self):
        """Stop as by SIGTERM and start again; return the exit code."""
        code = self._loop.run(self._serve_until_drained())
        self._loop.run(self.kernel.stop())
        self.kernel = self._build()
        self.start()
        return code

    async def _serve_until_drained(self):
        signals = asyncio.Queue()
        signals.put_nowait(signal.SIGTERM)
        grace_s = runner.ENTRY_GRACE_S if self.settings.is_entry else 0.0
        limit_s = self.settings.daemon.drain_limit_s
        return await runner.serve(self.kernel, signals, limit_s, grace_s)

    def kill(self):
        """Let nothing more run, and cut every connection."""
        self._is_killed = True
        self._loop.pause()
        for one in self._sockets():
            with contextlib.suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)

    def stop(self):
        """Stop every service; also after a kill, to free its threads."""
        if self._is_killed:
            self._loop.resume()
        self._loop.run(self.kernel.stop())
        self._loop.close()

    def _build(self):
        kernel = factories.build(self.settings)
        # Tests wait for leases of the dead to lapse.
        kernel.get("leases")._session.ttl_s = LEASE_S
        return kernel

    def _sockets(self):
        """Return those at its ports, and those that it dialled."""
        found = self.settings
        listens = [found.listener, found.admin]
        if found.is_entry:
            listens.append(found.entry.listen)
        ports = {one.port for one in listens}
        dialled = set(self._loop.loop._selector.get_map())
        return [
            one
            for one in gc.get_objects()
            if issubclass(type(one), socket.socket)
            and one.family == socket.AF_INET
            and (_port(one) in ports or one.fileno() in dialled)
        ]


def _port(one):
    """Return a socket's own port, None if it is closed.

    Threads of other parts may close theirs while all are looked at.
    """
    try:
        return one.getsockname()[1]
    except OSError:
        return None


class Deployment:
    """Stand-ins and daemons of the Association, few of each.

    Parameters
    ----------
    folder : pathlib.Path
        For logs.
    engines_count, plains_count : int
        Replicas of each service.
    """

    def __init__(self, folder, engines_count=2, plains_count=1, entries=1):
        self._folder = folder
        self._stack = contextlib.ExitStack()
        self.http = urllib3.PoolManager(retries=False)
        self.keyvalue = self._standin(keyvalues.KeyValue())
        self.vmlist = self._standin(vmlist.VmList())
        self.weightstore = self._standin(
            weightstore.WeightStore({"planner": ["1"]})
        )
        self.scorer = self._standin(scorer.Scorer())
        self.engines = [self._engine() for _ in range(engines_count)]
        self.plains = [
            self._standin(plain.Plain()) for _ in range(plains_count)
        ]
        self._ports = iter(free_ports(64))
        self._seeds = [next(self._ports) for _ in range(entries)]
        self.entries = [
            self._entry(number) for number in range(1, entries + 1)
        ]
        self.agents = [*self._agents()]

    def __enter__(self):
        for daemon in [*self.entries, *self.agents]:
            daemon.start()
            self._stack.callback(daemon.stop)
        return self

    def __exit__(self, *exc_info):
        self._stack.close()

    def wait_ready(self):
        """Wait until every entry says that it is ready."""
        for entry in self.entries:
            wait_until(lambda e=entry: self._status(e) == 200)

    def _status(self, entry):
        return self.http.request("GET", entry.url + "/readyz").status

    def _standin(self, standin):
        return self._stack.enter_context(standin)

    def _engine(self):
        held = weights.Weights("planner", "1", store_url=self.weightstore.url)
        return self._standin(engines.Engine(held))

    def _common(self, number):
        return {
            "DOMAIN": DOMAINS[number % len(DOMAINS)],
            "PORT": next(self._ports),
            "ADMIN": next(self._ports),
            "SEEDS": ", ".join(f"127.0.0.1:{one}" for one in self._seeds),
            "KEYVALUE": self.keyvalue.address,
            "VMLIST": self.vmlist.address,
            "WEIGHTSTORE": self.weightstore.address,
            "SCORER": self.scorer.address,
            "LOG": self._folder / "daemons.log",
        }

    def _entry(self, number):
        name = f"entry-{number}"
        text = render(
            "entry.ini",
            NAME=name,
            PEERS=self._seeds[number - 1],
            **self._common(number),
        )
        return Daemon(name, text)

    def _agents(self):
        for number, engine in enumerate(self.engines, start=1):
            yield self._agent(
                f"planner-agent-{number}", "planner-lm", "model", engine
            )
        for number, service in enumerate(self.plains, start=1):
            yield self._agent(
                f"stops-agent-{number}", "stops-app", "plain", service
            )

    def _agent(self, name, service, kind, standin):
        text = render(
            "agent.ini",
            NAME=name,
            SERVICE=service,
            KIND=kind,
            BACKEND=standin.address,
            FENCING="no",
            **self._common(len(name)),
        )
        return Daemon(name, text)


def wait_until(condition, limit_s=LIMIT_S):
    """Wait until `condition` holds; fail after `limit_s`."""
    never = threading.Event()
    for _ in range(int(limit_s / 0.02)):
        if condition():
            return
        never.wait(0.02)
    raise AssertionError(f"not reached in {limit_s} s: {condition}")
