"""Schema version 1 of a tenant's configuration document: templates, jobs and limits.

The check is frozen: a change of rules is a new schema version, so that nodes of two releases reach the
same verdict about the same record.
"""

import re
from enum import StrEnum

import msgspec

from worksramp.coordination.configuration import Invalid

SCHEMA_VERSION = 1
MAX_SAMPLES_PER_STEP = 65_536
NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9-]{0,62}$")
_ERROR_PATH = re.compile(r" - at `\$(?P<path>[^`]*)`$")


class Preference(StrEnum):
    """Which of the two measured figures weighs more for a tenant."""

    IDLE_TIME = "idle_time"
    STALENESS = "staleness"


class JobSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One rollout job, complete.

    Attributes:
        model: name of the model, one of the document's ``models``.
        prompt_set: stream of prompts, as `prompt_set_name` gives it.
        num_prompts: prompts in the set; sample i uses prompt ``(i // group_size) % num_prompts``.
        scorer: address of the scoring service.
        max_staleness: most weight versions between a sample's oldest token and its trainer.
        group_size: completions for each prompt; a group is delivered whole.
        samples_per_step: samples of one batch, a multiple of ``group_size``.
        max_tokens: longest completion.
        max_in_flight: samples generated at the same time.
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
    """A job from a template; parameters replace fields of the template."""

    template: str
    parameters: dict[str, str | int] = {}


class TenantDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything a tenant configures.

    Attributes:
        models: the fleet of engines that serves each model.
        max_live_concurrency: ceiling of the adaptive limit on live requests, a node.
        preference: which figure the sample plan favours.
        live_reserved_share: share of each engine's slots that rollout leaves to live requests; the
            larger, the less rollout slows live answers.
        num_fleet_cells: into how many cells each fleet is split for weight rollout.
    """

    models: dict[str, str] = {}
    templates: dict[str, JobSpec] = {}
    jobs: dict[str, JobRequest] = {}
    preference: Preference = Preference.IDLE_TIME
    max_live_concurrency: int = 256
    live_reserved_share: float = 0.6
    num_fleet_cells: int = 1


def group_name(tenant: str, name: str) -> str:
    """Return a tenant's fleet or application as the machine list names it; no tenant reaches another's."""
    return f"{tenant}.{name}"


def resolve_job(document: TenantDocument, name: str) -> JobSpec:
    """Return a job's template with its parameters put in.

    Raises:
        msgspec.ValidationError: a parameter has the wrong name or type.
        KeyError: the template does not exist.
    """
    request = document.jobs[name]
    fields = msgspec.to_builtins(document.templates[request.template])
    return msgspec.convert(fields | request.parameters, JobSpec)


def decode_document(raw: bytes) -> TenantDocument:
    """Decode a document that was validated before."""
    return msgspec.json.decode(raw, type=TenantDocument)


def validate_document(raw: bytes) -> Invalid | None:
    """Return what is wrong with a document, None if nothing is."""
    try:
        document = decode_document(raw)
    except msgspec.DecodeError as error:
        return _from_error("", error)
    for name in (*document.models, *document.models.values(), *document.templates, *document.jobs):
        if not NAME_PATTERN.match(name):
            return Invalid(name, "a name has 1 to 63 of a-z, 0-9 and -, not beginning with -")
    if document.max_live_concurrency < 1:
        return Invalid("max_live_concurrency", "must be at least 1")
    if not 0.0 <= document.live_reserved_share < 1.0:
        return Invalid("live_reserved_share", "must be at least 0 and below 1")
    if document.num_fleet_cells < 1:
        return Invalid("num_fleet_cells", "must be at least 1")
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
        return _from_error(f"{path}.parameters", error)
    if spec.model not in document.models:
        return Invalid(f"{path}.model", f"no model {spec.model!r}")
    return _validate_spec(path, spec)


def _validate_spec(path: str, spec: JobSpec) -> Invalid | None:
    at_least_one = ("num_prompts", "group_size", "samples_per_step", "max_tokens", "max_in_flight")
    for field in at_least_one:
        if getattr(spec, field) < 1:
            return Invalid(f"{path}.{field}", "must be at least 1")
    if spec.max_staleness < 0:
        return Invalid(f"{path}.max_staleness", "must not be negative")
    if spec.samples_per_step > MAX_SAMPLES_PER_STEP:
        return Invalid(f"{path}.samples_per_step", f"must be at most {MAX_SAMPLES_PER_STEP}")
    if spec.samples_per_step % spec.group_size != 0:
        return Invalid(f"{path}.samples_per_step", "must be a multiple of group_size")
    return None


def _from_error(prefix: str, error: msgspec.DecodeError) -> Invalid:
    text = str(error)
    match = _ERROR_PATH.search(text)
    path = match["path"].lstrip(".") if match else ""
    joined = ".".join(part for part in (prefix, path) if part)
    return Invalid(joined, _ERROR_PATH.sub("", text))
