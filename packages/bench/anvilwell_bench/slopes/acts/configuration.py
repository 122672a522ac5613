"""Changes of configuration, as their proposer and each member see them."""

from anvilwell_bench.slopes import act
from anvilwell_decisions.configuration import exchange
from anvilwell_decisions.configuration import limits
from anvilwell_decisions.configuration import outcomes
from anvilwell_decisions.configuration import proposal
from anvilwell_decisions.configuration import registry
from anvilwell_kernel.messages import codec
from anvilwell_kernel.messages import configuration as messages

CALLS = 3
FRAMES = codec.Codec(messages.KINDS)
DIGESTS = 200
DOCUMENT_CHARS = 1000
_MEMBER_SIZES = (50, 200, 450, 850)


def _instances(count):
    return [
        messages.Instance(
            f"vm-{number:05d}",
            f"{number:032x}",
            f"10.0.{number // 250}.{number % 250}:7000",
            f"domain-{number % 13:02d}",
        )
        for number in range(count)
    ]


def _propose(reading, instances):
    """Carry one change to its accepting write; return the actions."""
    change = proposal.Proposal(
        outcomes.Request("change", "stops", "x" * DOCUMENT_CHARS, "operator"),
        "attempt",
        messages.Document("stops", 0, 0, ""),
        limits.Limits(),
        0.0,
    )
    actions = change.on_reading(reading, 0.0)
    for instance in instances:
        answer = messages.PrepareAnswer(
            instance, "attempt", messages.PrepareState.PREPARED
        )
        actions = change.on_answer(answer, 0.0)
    return actions


def _reading(instances):
    value = registry.encode(registry.MemberList(instances))
    return proposal.ServiceKeys(
        proposal.StoredValue(0, None),
        proposal.StoredValue(0, None),
        proposal.StoredValue(1, value),
    )


class AcceptBytes(act.Act):
    """Bytes of the write that accepts a change."""

    name = "configuration.accept.bytes"
    act = "write that accepts a change"
    grows_with = "members of the service"
    unit = "bytes"
    sizes = _MEMBER_SIZES

    def measure(self, size):
        """Return the bytes of all keys named and values written."""
        instances = _instances(size)
        swap = _propose(_reading(instances), instances)[-1]
        keys = [one.key for one in (*swap.writes, *swap.guards)]
        values = [one.value for one in swap.writes]
        return len("".join(keys)) + len(b"".join(values))


class ProposeCpu(act.Act):
    """CPU of the proposer's decisions for one change."""

    name = "configuration.propose.cpu"
    act = "decide one change at its proposer"
    grows_with = "members of the service"
    unit = "us"
    sizes = _MEMBER_SIZES

    def measure(self, size):
        """Return CPU microseconds for one change."""
        instances = _instances(size)
        reading = _reading(instances)
        return act.cpu_us(lambda: _propose(reading, instances), CALLS)


class DigestCpu(act.Act):
    """CPU to hash how far an instance is with its services."""

    name = "configuration.digest.cpu"
    act = "digest of the documents, once a second"
    grows_with = "services"
    unit = "us"
    sizes = (1, 10, 50, 100)

    def measure(self, size):
        """Return CPU microseconds for one digest."""
        documents_by_service = {
            f"service-{number}": messages.Document(
                f"service-{number}", number, number, ""
            )
            for number in range(1, size + 1)
        }
        return act.cpu_us(
            lambda: exchange.digest_of(documents_by_service), DIGESTS
        )


class PrepareBytes(act.Act):
    """Bytes of a prepare request for the members of one domain."""

    name = "configuration.prepare.bytes"
    act = "prepare request to a domain's relay, document of 1,000 bytes"
    grows_with = "members in the domain"
    unit = "bytes"
    sizes = (8, 32, 128, 460)

    def measure(self, size):
        """Return the frame's bytes."""
        text = "x" * DOCUMENT_CHARS
        document = messages.Document("stops", 12, 12, text)
        message = messages.PrepareChange(
            "a" * 32, "c" * 32, document, 11, _instances(size)
        )
        return len(FRAMES.encode(message))


class CommitBytes(act.Act):
    """Bytes of a commit for the members of one domain."""

    name = "configuration.commit.bytes"
    act = "commit to a domain's relay"
    grows_with = "members in the domain"
    unit = "bytes"
    sizes = (8, 32, 128, 460)

    def measure(self, size):
        """Return the frame's bytes."""
        message = messages.CommitChange(
            "a" * 32, "stops", 12, 12, _instances(size)
        )
        return len(FRAMES.encode(message))


class DigestBytes(act.Act):
    """Bytes of a digest that names the services followed."""

    name = "configuration.digest.bytes"
    act = "digest that names the services that its sender follows"
    grows_with = "services named"
    unit = "bytes"
    sizes = (1, 8, 32, 64)

    def measure(self, size):
        """Return the frame's bytes."""
        services = [f"service-{number:03d}" for number in range(size)]
        digest = messages.DocumentDigest(services, (1 << 63) - 1)
        return len(FRAMES.encode(digest))
