"""Keep the sections of documents in the object store."""

import asyncio

from result import Err, Ok, Result

from dragonflyknot.operators.document import Document
from dragonflyknot.operators.sections import (
    BadSection,
    Sections,
    assemble,
    digests_in,
    object_key,
)
from dragonflyknot.stores.errors import PlatformError, ReadError
from dragonflyknot.stores.interfaces import Objects

LoadError = ReadError | BadSection


async def save(
    objects: Objects, sections: Sections, known: frozenset[str]
) -> Result[None, PlatformError]:
    """Store the sections that are not known to be there, manifest last."""
    digests = sections.content_by_digest.keys() - known - {sections.digest}
    answers = await asyncio.gather(
        *(_save_one(objects, sections, digest) for digest in sorted(digests))
    )
    for answer in answers:
        if answer.is_err():
            return answer
    return await _save_one(objects, sections, sections.digest)


async def load_document(
    objects: Objects, digest: str
) -> Result[Document, LoadError]:
    """Return the document under a digest."""
    sections = await load_sections(objects, digest)
    if isinstance(sections, Err):
        return sections
    return assemble(sections.ok_value)


async def load_sections(
    objects: Objects, digest: str
) -> Result[Sections, LoadError]:
    """Return the manifest under a digest and every section it names."""
    manifest = await _load_one(objects, digest)
    if isinstance(manifest, Err):
        return manifest
    named = digests_in(digest, manifest.ok_value)
    if isinstance(named, Err):
        return named
    names = sorted(named.ok_value)
    contents = await asyncio.gather(
        *(_load_one(objects, name) for name in names)
    )
    content_by_digest = {digest: manifest.ok_value}
    for name, content in zip(names, contents, strict=True):
        if isinstance(content, Err):
            return content
        content_by_digest[name] = content.ok_value
    return Ok(Sections(digest, content_by_digest))


async def _load_one(objects: Objects, digest: str) -> Result[bytes, LoadError]:
    content = await objects.get(object_key(digest))
    if isinstance(content, Err):
        return content
    if content.ok_value is None:
        return Err(BadSection(digest, 'is not in the object store'))
    return Ok(content.ok_value)


async def _save_one(
    objects: Objects, sections: Sections, digest: str
) -> Result[None, PlatformError]:
    content = sections.content_by_digest[digest]
    return await objects.put(object_key(digest), content)
