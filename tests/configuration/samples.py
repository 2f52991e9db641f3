"""Small configuration documents for tests."""

from hornbeamglade.configuration import documents, documentyaml

BASE = """\
sites: [krakow]
services:
  drafts: {kind: generation, model: drafts-7b, pool: engines}
  mailbox: {kind: plain, pool: web, repeatable: false}
pools:
  engines:
    replicas:
      e1: {address: "192.0.2.1:8000", failure_domain: a, memory_tokens: 9000}
  web:
    replicas:
      w1: {address: "192.0.2.2:8000", failure_domain: b}
teams:
  clerks: {key_hashes: ["sha256:%s"], weight: 2}
""" % ("0" * 64)


def source(text: str | bytes, name: str = "base.yaml") -> documentyaml.SourceFile:
    return documentyaml.SourceFile(name, text if isinstance(text, bytes) else text.encode())


def document(overlay: str = "", base: str = BASE) -> documents.Document:
    return documents.load(source(base), [source("site: krakow\n" + overlay, "krakow.yaml")])


def numbered(number: int) -> documents.Document:
    return document(f"node: {{max_streams: {number}}}\n")


def revision(number: int) -> documents.Revision:
    content = numbered(number)
    return documents.Revision(number, content.digest, f"change-{number}", content.text)
