"""The document in which a team describes its service."""

from anvilwell_kernel.documents.document import Document
from anvilwell_kernel.documents.parser import digest
from anvilwell_kernel.documents.parser import parse
from anvilwell_kernel.documents.parser import render

__all__ = ("Document", "digest", "parse", "render")
