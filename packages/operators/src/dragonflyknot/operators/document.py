"""The configuration document of an environment, validated.

`parse` reads TOML and reports every fault at once. The models hold one
document; `Document.configuration` turns it into the data class that the
state machines read.
"""

import tomllib
from collections.abc import Mapping
from typing import Annotated, Final, Literal

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
    ValidationError,
)
from result import Err, Ok, Result

from dragonflyknot.decisions.document import (
    HIGHEST_PRIORITY,
    LOWEST_PRIORITY,
    Configuration,
    Revision,
    Route,
    Service,
    Workspace,
)
from dragonflyknot.operators.explain import faults_of
from dragonflyknot.operators.faults import DocumentFaults, Fault
from dragonflyknot.operators.references import reference_faults

MAX_DOCUMENT_BYTES: Final = 4_194_304
MAX_RATE_PER_SECOND: Final = 10_000_000
MAX_TIMEOUT_MS: Final = 3_600_000
MAX_QUEUE_REQUESTS: Final = 100_000
MAX_RETRIES_PER_CHAIN: Final = 16
MAX_KEY_FRESHNESS_S: Final = 5

Name = Annotated[
    str, StringConstraints(pattern=r'^[a-z][a-z0-9-]*$', max_length=63)
]
Rate = Annotated[float, Field(gt=0, le=MAX_RATE_PER_SECOND)]
Burst = Annotated[float, Field(ge=1, le=MAX_RATE_PER_SECOND)]
Prefix = Annotated[
    str, StringConstraints(pattern=r'^/[^\s?#]*$', max_length=1024)
]
Method = Literal['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']


class Model(BaseModel):
    """Refuse unknown fields and converted types everywhere."""

    model_config = ConfigDict(
        extra='forbid', strict=True, frozen=True, allow_inf_nan=False
    )


class WorkspaceModel(Model):
    """Describe a workspace: requests a second, requests and a weight."""

    rate: Rate
    burst: Burst
    weight: Annotated[float, Field(gt=0, le=1000)] = 1


class ServiceModel(Model):
    """Describe the queue of a service: requests and milliseconds."""

    queue_limit: Annotated[int, Field(ge=0, le=MAX_QUEUE_REQUESTS)] = 64
    queue_wait_ms: Annotated[int, Field(ge=0, le=MAX_TIMEOUT_MS)] = 250


class RouteModel(Model):
    """Describe the policy of the requests under one method and prefix."""

    service: Name
    method: Method
    prefix: Prefix
    priority: Annotated[int, Field(ge=LOWEST_PRIORITY, le=HIGHEST_PRIORITY)]
    timeout_ms: Annotated[int, Field(ge=1, le=MAX_TIMEOUT_MS)]
    retries: Annotated[int, Field(ge=0, le=MAX_RETRIES_PER_CHAIN)] = 0
    once: bool = False
    open: bool = False
    idempotent: bool = False


class KeysModel(Model):
    """Bound the age in seconds of a copy of the keys that may vouch."""

    freshness_seconds: Annotated[float, Field(gt=0, le=MAX_KEY_FRESHNESS_S)] = 2


class OpenModel(Model):
    """Describe the rate that all open routes share."""

    rate: Annotated[float, Field(ge=0, le=MAX_RATE_PER_SECOND)] = 0
    burst: Annotated[float, Field(ge=0, le=MAX_RATE_PER_SECOND)] = 0


class Document(Model):
    """Hold one validated document."""

    workspaces: Annotated[dict[Name, WorkspaceModel], Field(min_length=1)]
    services: Annotated[dict[Name, ServiceModel], Field(min_length=1)]
    routes: Annotated[tuple[RouteModel, ...], Field(strict=False)]
    keys: KeysModel = KeysModel()
    open: OpenModel = OpenModel()

    def configuration(self, revision: Revision) -> Configuration:
        """Return the configuration that the state machines read."""
        return Configuration(
            revision=revision,
            workspaces_by_name=_workspaces_by_name(self.workspaces),
            services_by_name=_services_by_name(self.services),
            routes=_sorted_routes(self.routes),
            open_rate=self.open.rate,
            open_burst=self.open.burst,
            key_freshness_seconds=self.keys.freshness_seconds,
        )


def parse(text: str) -> Result[Document, DocumentFaults]:
    """Return the document in a TOML text, or all of its faults."""
    match _read_toml(text):
        case Err(fault):
            return Err(DocumentFaults((fault,)))
        case Ok(raw):
            return validate(raw)


def validate(raw: Mapping[str, object]) -> Result[Document, DocumentFaults]:
    """Return the document in a parsed table, or all of its faults."""
    faults = list(reference_faults(raw))
    document: Document | None = None
    try:
        document = Document.model_validate(raw)
    except ValidationError as error:
        faults.extend(faults_of(error, Document))
    if document is None or faults:
        ordered = sorted(set(faults), key=_by_place)
        return Err(DocumentFaults(tuple(ordered)))
    return Ok(document)


def _read_toml(text: str) -> Result[dict[str, object], Fault]:
    if len(text) > MAX_DOCUMENT_BYTES:
        return Err(
            Fault(
                'document',
                f'it is longer than {MAX_DOCUMENT_BYTES} characters',
                'Split the environment or remove unused routes',
            )
        )
    try:
        return Ok(tomllib.loads(text))
    except (ValueError, RecursionError) as error:
        return Err(_syntax_fault(error))


def _syntax_fault(error: ValueError | RecursionError) -> Fault:
    match error:
        case RecursionError():
            message = 'it is nested too deeply'
        case _:
            message = f'it is not valid TOML: {error}'
    return Fault(
        'document', message, 'Correct the syntax at the line that is named'
    )


def _by_place(fault: Fault) -> tuple[str, str]:
    return fault.place, fault.message


def _workspaces_by_name(
    models_by_name: Mapping[str, WorkspaceModel],
) -> dict[str, Workspace]:
    return {
        name: Workspace(name, model.rate, model.burst, model.weight)
        for name, model in sorted(models_by_name.items())
    }


def _services_by_name(
    models_by_name: Mapping[str, ServiceModel],
) -> dict[str, Service]:
    return {
        name: Service(name, model.queue_limit, model.queue_wait_ms)
        for name, model in sorted(models_by_name.items())
    }


def _sorted_routes(models: tuple[RouteModel, ...]) -> tuple[Route, ...]:
    """Order routes so that the first match is the longest one."""
    routes = (Route(**model.model_dump()) for model in models)
    return tuple(sorted(routes, key=_longest_first))


def _longest_first(route: Route) -> tuple[int, str, str, str]:
    return -len(route.prefix), route.prefix, route.method, route.service
