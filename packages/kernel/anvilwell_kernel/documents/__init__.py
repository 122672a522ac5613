"""Service documents, in which a team describes its service."""

from anvilwell_kernel.documents import document
from anvilwell_kernel.documents import editor
from anvilwell_kernel.documents import parser

Document = document.Document
digest = parser.digest
parse = parser.parse
render = parser.render
set_version = editor.set_version
