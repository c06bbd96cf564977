"""Defines schema version 1 of a tenant's configuration document: templates, jobs and limits.

The validation rules of a schema version never change; new rules need a new schema version. Nodes of
different releases therefore reach the same verdict about the same record.
"""

import re
from enum import StrEnum

import msgspec

from worksramp.addresses import reason_bad_address
from worksramp.coordination.configuration import Invalid

SCHEMA_VERSION = 1
# Bounds that keep a single document from exhausting the memory of every node.
DOCUMENT_RANGES = {"max_live_concurrency": (1, 1_000_000), "num_fleet_cells": (1, 4096)}
SPEC_RANGES = {
    "num_prompts": (1, 1_000_000),
    "group_size": (1, 1024),
    "samples_per_step": (1, 65_536),
    "max_tokens": (1, 131_072),
    "max_in_flight": (1, 65_536),
    "max_staleness": (0, 1_000_000),
}
PROMPT_SET_PATTERN = re.compile(r"^[0-9a-f]{32}$")
NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9-]{0,62}$")
_ERROR_PATH = re.compile(r" - at `\$(?P<path>[^`]*)`$")


class Preference(StrEnum):
    """Metric that the sample plan optimises for a tenant."""

    IDLE_TIME = "idle_time"
    STALENESS = "staleness"


class JobSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Complete settings of one rollout job.

    Attributes:
        model: name of the model, one of the document's ``models``.
        prompt_set: name of a stored prompt set of this tenant.
        num_prompts: number of prompts in the set; sample i uses prompt ``(i // group_size) % num_prompts``.
        scorer: address of the scoring service.
        max_staleness: maximum number of weight versions between a sample's oldest token and the trainer.
        group_size: completions for each prompt; all samples of a group are delivered in the same batch.
        samples_per_step: samples in one batch, a multiple of ``group_size``.
        max_tokens: maximum number of tokens of a completion.
        max_in_flight: maximum number of samples generated concurrently.
    """

    model: str
    prompt_set: str
    num_prompts: int
    scorer: str
    max_staleness: int
    group_size: int
    samples_per_step: int
    max_tokens: int = 512
    max_in_flight: int = 64


class JobRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Job defined by a template; ``parameters`` override fields of the template."""

    template: str
    parameters: dict[str, str | int] = {}


class TenantDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Complete configuration of a tenant.

    Attributes:
        models: name of the engine fleet that serves each model.
        templates: job settings by template name.
        jobs: jobs by name.
        preference: metric that the sample plan optimises.
        max_live_concurrency: upper bound of the adaptive limit on live requests of each node.
        live_reserved_share: share of each engine's slots that is reserved for live requests. A larger share
            makes rollout slow live requests less.
        num_fleet_cells: number of cells into which each fleet is divided for weight rollout.
    """

    models: dict[str, str] = {}
    templates: dict[str, JobSpec] = {}
    jobs: dict[str, JobRequest] = {}
    preference: Preference = Preference.IDLE_TIME
    max_live_concurrency: int = 256
    live_reserved_share: float = 0.6
    num_fleet_cells: int = 1


def group_name(tenant: str, name: str) -> str:
    """Return the name of a tenant's fleet or application in the machine list.

    The prefix keeps tenants from addressing each other's fleets and applications.
    """
    return f"{tenant}.{name}"


def resolve_job(document: TenantDocument, name: str) -> JobSpec:
    """Return the settings of a job: its template with the parameters applied.

    Raises:
        msgspec.ValidationError: a parameter has an unknown name or the wrong type.
        KeyError: the job or its template does not exist.
    """
    request = document.jobs[name]
    fields = msgspec.to_builtins(document.templates[request.template])
    return msgspec.convert(fields | request.parameters, JobSpec)


def decode_document(raw: bytes) -> TenantDocument:
    """Decode a document that has been validated.

    Raises:
        msgspec.DecodeError: the document is malformed or a field has the wrong type.
    """
    return msgspec.json.decode(raw, type=TenantDocument)


def validate_document(raw: bytes) -> Invalid | None:
    """Return the first problem found in a document, or None if it is valid."""
    try:
        document = decode_document(raw)
    except msgspec.DecodeError as error:
        return _invalid_from_error("", error)
    for name in (*document.models, *document.models.values(), *document.templates, *document.jobs):
        if not NAME_PATTERN.match(name):
            return Invalid(name, "a name has 1 to 63 of a-z, 0-9 and -, not beginning with -")
    for field, (lowest, highest) in DOCUMENT_RANGES.items():
        if not lowest <= getattr(document, field) <= highest:
            return Invalid(field, f"must be from {lowest} to {highest}")
    if not 0.0 <= document.live_reserved_share < 1.0:
        return Invalid("live_reserved_share", "must be at least 0 and below 1")
    for name in document.jobs:
        problem = _validate_job(document, name)
        if problem is not None:
            return problem
    return None


def _validate_job(document: TenantDocument, name: str) -> Invalid | None:
    path = f"jobs.{name}"
    if document.jobs[name].template not in document.templates:
        return Invalid(f"{path}.template", f"no template {document.jobs[name].template!r}")
    try:
        spec = resolve_job(document, name)
    except msgspec.ValidationError as error:
        return _invalid_from_error(f"{path}.parameters", error)
    if spec.model not in document.models:
        return Invalid(f"{path}.model", f"no model {spec.model!r}")
    return _validate_spec(path, spec)


def _validate_spec(path: str, spec: JobSpec) -> Invalid | None:
    for field, (lowest, highest) in SPEC_RANGES.items():
        if not lowest <= getattr(spec, field) <= highest:
            return Invalid(f"{path}.{field}", f"must be from {lowest} to {highest}")
    if spec.samples_per_step % spec.group_size != 0:
        return Invalid(f"{path}.samples_per_step", "must be a multiple of group_size")
    if not PROMPT_SET_PATTERN.match(spec.prompt_set):
        return Invalid(f"{path}.prompt_set", "must be a name as storing the prompts gave it")
    reason = reason_bad_address(spec.scorer)
    return Invalid(f"{path}.scorer", reason) if reason is not None else None


def _invalid_from_error(prefix: str, error: msgspec.DecodeError) -> Invalid:
    text = str(error)
    match = _ERROR_PATH.search(text)
    path = match["path"].lstrip(".") if match else ""
    joined = ".".join(part for part in (prefix, path) if part)
    return Invalid(joined, _ERROR_PATH.sub("", text))
