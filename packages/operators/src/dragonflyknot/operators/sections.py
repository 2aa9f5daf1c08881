"""Split a document into content-addressed sections and put it together.

The manifest names a section for each workspace and each service (with its
routes) by SHA-256, so that one change costs one small section. The digest of
a document is that of its manifest.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import sha256
from typing import Final, Literal, TypeVar

from pydantic import ValidationError
from result import Err, Ok, Result

from dragonflyknot.operators.document import (
    Document,
    KeysModel,
    Model,
    OpenModel,
    RouteModel,
    ServiceModel,
    WorkspaceModel,
    validate,
)
from dragonflyknot.operators.faults import DocumentFaults

FORMAT: Final = 1

_Model = TypeVar('_Model', bound=Model)


class ServiceSection(Model):
    """Hold the queue of a service and its routes."""

    queue: ServiceModel
    routes: tuple[RouteModel, ...]


class Manifest(Model):
    """Name the sections of a document by workspace and service."""

    format: Literal[1]
    keys: KeysModel
    open: OpenModel
    workspaces: dict[str, str]
    services: dict[str, str]


@dataclass(frozen=True, slots=True)
class Sections:
    """Hold the manifest's digest and every content by its digest."""

    digest: str
    content_by_digest: Mapping[str, bytes]


@dataclass(frozen=True, slots=True)
class BadSection:
    """Say that a section is missing or is not what its digest names."""

    digest: str
    reason: str

    def __str__(self) -> str:
        return (
            f'Section {self.digest[:12]} {self.reason}; fetch it again from'
            ' another peer or from the object store.'
        )


def object_key(digest: str) -> str:
    """Return the key of a content in the object store."""
    return f'sections/{digest}'


def digest_of(content: bytes) -> str:
    """Return the SHA-256 of a content in hexadecimal digits."""
    return sha256(content).hexdigest()


def split(document: Document) -> Sections:
    """Return the sections of a document."""
    content_by_digest: dict[str, bytes] = {}

    def keep(model: Model) -> str:
        content = _canonical(model)
        digest = digest_of(content)
        content_by_digest[digest] = content
        return digest

    manifest = Manifest(
        format=FORMAT,
        keys=document.keys,
        open=document.open,
        workspaces={
            name: keep(workspace)
            for name, workspace in document.workspaces.items()
        },
        services={
            name: keep(_service_section(name, document))
            for name in document.services
        },
    )
    return Sections(keep(manifest), content_by_digest)


def digests_in(
    digest: str, content: bytes
) -> Result[frozenset[str], BadSection]:
    """Return the digests of the sections that a manifest names."""
    manifest = _read(Manifest, digest, content)
    if isinstance(manifest, Err):
        return manifest
    workspaces = manifest.ok_value.workspaces.values()
    services = manifest.ok_value.services.values()
    return Ok(frozenset((*workspaces, *services)))


def assemble(sections: Sections) -> Result[Document, BadSection]:
    """Return the document of fetched sections, each checked by its digest."""
    content_by_digest = sections.content_by_digest
    content = content_by_digest.get(sections.digest)
    manifest = _read(Manifest, sections.digest, content)
    if isinstance(manifest, Err):
        return manifest
    named = manifest.ok_value
    workspaces = _read_each(WorkspaceModel, named.workspaces, content_by_digest)
    if isinstance(workspaces, Err):
        return workspaces
    services = _read_each(ServiceSection, named.services, content_by_digest)
    if isinstance(services, Err):
        return services
    return _joined(named, workspaces.ok_value, services.ok_value)


def _joined(
    manifest: Manifest,
    workspace_by_name: Mapping[str, WorkspaceModel],
    section_by_name: Mapping[str, ServiceSection],
) -> Result[Document, BadSection]:
    raw = {
        'keys': manifest.keys.model_dump(),
        'open': manifest.open.model_dump(),
        'workspaces': _dumped(workspace_by_name),
        'services': {
            name: section.queue.model_dump()
            for name, section in section_by_name.items()
        },
        'routes': [
            route.model_dump()
            for section in section_by_name.values()
            for route in section.routes
        ],
    }
    return validate(raw).map_err(_not_a_document)


def _dumped(models: Mapping[str, Model]) -> dict[str, object]:
    return {name: model.model_dump() for name, model in models.items()}


def _not_a_document(faults: DocumentFaults) -> BadSection:
    return BadSection('manifest', f'has faults: {faults}')


def _read_each(
    model: type[_Model],
    digest_by_name: Mapping[str, str],
    content_by_digest: Mapping[str, bytes],
) -> Result[dict[str, _Model], BadSection]:
    model_by_name: dict[str, _Model] = {}
    for name, digest in digest_by_name.items():
        read = _read(model, digest, content_by_digest.get(digest))
        if isinstance(read, Err):
            return read
        model_by_name[name] = read.ok_value
    return Ok(model_by_name)


def _read(
    model: type[_Model], digest: str, content: bytes | None
) -> Result[_Model, BadSection]:
    if content is None:
        return Err(BadSection(digest, 'is missing'))
    if digest_of(content) != digest:
        return Err(BadSection(digest, 'has another content'))
    try:
        return Ok(model.model_validate_json(content))
    except ValidationError:
        return Err(BadSection(digest, 'is of another layout'))


def _service_section(name: str, document: Document) -> 'ServiceSection':
    routes = [route for route in document.routes if route.service == name]
    return ServiceSection(
        queue=document.services[name],
        routes=tuple(sorted(routes, key=_method_and_prefix)),
    )


def _method_and_prefix(route: RouteModel) -> tuple[str, str]:
    return route.prefix, route.method


def _canonical(model: Model) -> bytes:
    """Return the JSON bytes that every writer makes of the same model."""
    return json.dumps(
        model.model_dump(mode='json'),
        sort_keys=True,
        ensure_ascii=False,
        separators=(',', ':'),
    ).encode()
