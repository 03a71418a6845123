"""Measures the planning of a small change to 24,000 configured services.

Run with `python -m sapphire_lab.ctl.measure_plan`; the last line is one JSON
object with the seconds of each step.
"""

import json
import time

from sapphire_core.configuration import dangers
from sapphire_core.configuration import merge
from sapphire_ctl import planning
from sapphire_lab.config import builders
from sapphire_wire.documents import decode

_SERVICES = 24_000
_UPSTREAMS_PER_SERVICE = 3
_DATA_CENTRES = 10
_NS_PER_S = 1_000_000_000


def _pools(services: int) -> dict[str, dict[str, str]]:
    """Returns the pools of a document: the data centre of each upstream."""
    pools = {}
    for number in range(services):
        pools[f"s{number}"] = {
            f"s{number}-{index}": f"dc{(number + index) % _DATA_CENTRES}"
            for index in range(_UPSTREAMS_PER_SERVICE)
        }
    return pools


def main() -> None:
    """Measures each step and prints the JSON object."""
    pools = _pools(_SERVICES)
    content = builders.document_bytes(pools)
    changed = builders.document_bytes(pools, drained=("s7-0",))
    bindings = builders.bindings(pools)
    steps_s: dict[str, float] = {}

    def record_duration(name: str, start_ns: int) -> None:
        duration_ns = time.perf_counter_ns() - start_ns
        steps_s[name] = round(duration_ns / _NS_PER_S, 2)

    start_ns = time.perf_counter_ns()
    document, errors = decode.decode_document(content)
    record_duration("check_s", start_ns)
    next_document, next_errors = decode.decode_document(changed)
    if document is None or next_document is None:
        raise ValueError(errors + next_errors)
    before, _ = merge.next_configuration(merge.EMPTY, document, bindings)
    start_ns = time.perf_counter_ns()
    after, _ = merge.next_configuration(before, next_document, bindings)
    record_duration("merge_s", start_ns)
    start_ns = time.perf_counter_ns()
    found = dangers.find_dangers(before, after)
    found += planning.find_reverted_intent(before, after)
    record_duration("dangers_s", start_ns)
    start_ns = time.perf_counter_ns()
    summary = planning.summarise_plan(before, after, found, {})
    record_duration("view_s", start_ns)
    document_with_data_centre_out, _ = decode.decode_document(
        builders.document_bytes(pools, out=("dc3",))
    )
    if document_with_data_centre_out is None:
        raise ValueError("no document")
    out, _ = merge.next_configuration(
        before, document_with_data_centre_out, bindings
    )
    start_ns = time.perf_counter_ns()
    data_centre_out_summary = planning.summarise_plan(before, out, (), {})
    record_duration("data_centre_out_view_s", start_ns)
    report = {
        "services": _SERVICES,
        "upstreams": _SERVICES * _UPSTREAMS_PER_SERVICE,
        "document_bytes": len(content),
        "differences": len(summary.differences),
        "data_centre_out_differences": len(data_centre_out_summary.differences),
        **steps_s,
    }
    print(json.dumps(report))


if __name__ == "__main__":
    main()
