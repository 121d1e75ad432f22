"""Decode the jobs that callers submit."""

from savorydale.exceptions import RowFormatError
from savorydale.jobs.model import JobSpec, StepSpec
from savorydale.utils.json_values import (
    JsonObject,
    load_json_object,
    to_int,
    to_list,
    to_object,
    to_text,
)

MAX_PAYLOAD_BYTES = 4_000


def decode_job_request(raw: bytes) -> JobSpec:
    """Decode the body of a submission.

    Raises
    ------
    RowFormatError
        If the body is malformed.
    """
    data = load_json_object(raw)
    payload = to_text(data.get("spec", ""))
    if len(payload.encode(errors="surrogatepass")) > MAX_PAYLOAD_BYTES:
        raise RowFormatError(f"spec is longer than {MAX_PAYLOAD_BYTES} bytes")
    return JobSpec(
        payload,
        tuple(_decode_step(to_object(step)) for step in to_list(data.get("steps"))),
        to_int(data.get("startAtMs") or 0),
        to_int(data.get("intervalMs") or 0),
        to_int(data.get("repeatCount") or 0),
    )


def _decode_step(step: JsonObject) -> StepSpec:
    # Callers omit `mayMiss` for a limit of 0; the limit applies only to services.
    is_service = bool(step.get("longRunning"))
    return StepSpec(
        task_count=to_int(step.get("count") or 0),
        cpu_millicores=to_int(step.get("cpu") or 0),
        memory_mb=to_int(step.get("memMb") or 0),
        accelerators=to_int(step.get("gpu") or 0),
        estimate_ms=to_int(step.get("estRuntimeMs") or 0),
        after=tuple(dict.fromkeys(map(to_int, to_list(step.get("after") or [])))),
        checkpointing=bool(step.get("checkpointing")),
        gang=bool(step.get("gang")),
        same_rack=bool(step.get("sameRack")),
        required_label=to_text(step.get("requiredLabel") or ""),
        data_rack=to_text(step.get("affinity") or ""),
        max_per_worker=to_int(step.get("antiAffinity") or 0),
        speculative=bool(step.get("speculative")),
        long_running=is_service,
        image=to_text(step.get("image") or ""),
        latency_target_ms=to_int(step.get("targetMs") or 0),
        backfill=bool(step.get("fills")),
        max_unavailable=to_int(step.get("mayMiss") or 0) if is_service else None,
    )
