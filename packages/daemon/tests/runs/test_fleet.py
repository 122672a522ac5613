"""What a holder is told of its service's document."""

from anvilwell_daemon.runs import fleet
from anvilwell_kernel.documents import document as documents
from anvilwell_kernel import exceptions


class FakeRuns:
    """Gives documents, or refuses, and keeps what the holder is told."""

    def __init__(self, *versions):
        self.versions = list(versions)
        self.configured = []
        self.published_versions = []

    def latest(self):
        version = self.versions.pop(0)
        if version is None:
            raise exceptions.BadRequest("none in force")
        return documents.Document(
            documents.ServiceSection("lm", "model"),
            documents.ModelSection("m", version, 1),
        )

    def configure(self, document):
        self.configured.append(document.model.version)

    def published(self, version):
        self.published_versions.append(version)


def follow(*versions):
    runs = FakeRuns(*versions)
    watch = fleet.DocumentWatch(runs.latest, runs)
    for _ in versions:
        watch.look()
    return runs


def test_a_changed_document_is_told_once():
    runs = follow("7", "7", "8")

    assert runs.configured == ["7", "8"]
    assert runs.published_versions == [7, 8]


def test_a_version_that_is_no_number_leaves_the_one_before():
    runs = follow("7", "seven", "seven", "8")

    assert runs.configured == ["7", "seven", "8"]
    assert runs.published_versions == [7, 8]


def test_a_document_that_is_away_leaves_the_one_before():
    runs = follow("7", None, "7", "8")

    assert runs.configured == ["7", "8"]
    assert runs.published_versions == [7, 8]
