"""The settings of one daemon as a declared schema."""

import typing

from anvilwell_daemon.config import sections
from anvilwell_kernel.config import loader
from anvilwell_kernel.config import options
from anvilwell_kernel.config import problem as problems


class Settings(typing.NamedTuple):
    """All settings of a daemon, checked."""

    daemon: sections.DaemonSection
    keyvalue: sections.KeyValueSection
    entry: sections.EntrySection | None = None
    agent: sections.AgentSection | None = None
    peers: sections.PeersSection = sections.PeersSection()
    membership: sections.MembershipSection = sections.MembershipSection()
    vmlist: sections.OutsideSection = sections.OutsideSection()
    weightstore: sections.OutsideSection = sections.OutsideSection()
    scorer: sections.OutsideSection = sections.OutsideSection()
    limits: sections.LimitsSection = sections.LimitsSection()
    log: sections.LogSection = sections.LogSection()

    @property
    def is_entry(self):
        """Whether the role is ``entry``."""
        return self.daemon.role == "entry"

    @property
    def listener(self) -> options.Address:
        """Where this daemon's websocket listener binds."""
        return self.peers.listen or self.agent.listen

    @property
    def admin(self) -> options.Address | None:
        """Where the metrics and health pages bind, if anywhere."""
        return self.entry.admin if self.is_entry else self.agent.admin


def load(path):
    """Return the `Settings` in the file at `path`.

    Raises
    ------
    exceptions.ConfigurationError
        With every problem found.
    """
    return loader.load(path, Settings, (find_contradictions,))


def loads(text, source):
    """Return the `Settings` in `text`, which is from `source`."""
    return loader.loads(text, Settings, source, (find_contradictions,))


def find_contradictions(sections_by_name):
    """Return a `problem.Problem` for each contradiction."""
    found = [*_keyvalue_problems(sections_by_name.get("keyvalue"))]
    daemon = sections_by_name.get("daemon")
    if daemon is not None:
        found += _role_problems(daemon.role, sections_by_name)
    return found


def _problem(section, key, description, fix):
    return problems.Problem("", section, key, description, fix)


def _keyvalue_problems(keyvalue):
    if keyvalue is not None and not keyvalue.endpoints:
        fix = "give ip:port of the platform's key-value service"
        yield _problem("keyvalue", "endpoints", "names no address", fix)


def _role_problems(role, sections_by_name):
    other = "agent" if role == "entry" else "entry"
    if role in sections_by_name and sections_by_name[role] is None:
        description = f"missing, but the role is {role}"
        yield _problem(
            role, "", description, f"add it, or write role = {other}"
        )
    if sections_by_name.get(other) is not None:
        description = f"is for role {other}, but the role is {role}"
        yield _problem(
            other, "", description, f"remove it, or write role = {other}"
        )
    yield from _peers_problems(role, sections_by_name)


def _peers_problems(role, sections_by_name):
    peers = sections_by_name.get("peers")
    agent = sections_by_name.get("agent")
    if peers is None:
        return
    if role == "entry" and peers.listen is None:
        description = "missing, but the role is entry"
        yield _problem("peers", "listen", description, "add listen = ip:port")
    if role == "agent" and agent and peers.listen not in (None, agent.listen):
        description = "differs from [agent] listen"
        yield _problem("peers", "listen", description, "remove it")
