"""The tables of docs/CAPACITY.md, made from the recorded slopes."""

from collections.abc import Iterable
import json
import math
from typing import Any

from sapphire_lab.slopes import capacity
from sapphire_lab.slopes import data

_COMMAND = "make measure-slopes"
_START = "<!-- generated: {} -->"
_END = "<!-- end of generated -->"
_EXACT_BELOW = 0.01


def encode(record: data.Measurement) -> str:
    """Returns a record as the text of docs/capacity/slopes.json."""
    slopes = {
        name: {
            "unit": slope.unit,
            "per": slope.per,
            "sizes": slope.sizes,
            "values": slope.values,
            "slope": slope.slope,
            "intercept": slope.intercept,
            "residual": slope.residual,
        }
        for name, slope in sorted(record.slopes_by_name.items())
    }
    document = {"commit": record.commit, "seed": record.seed, "slopes": slopes}
    return json.dumps(document, indent=1) + "\n"


def decode(text: str) -> data.Measurement:
    """Returns the record in the text of docs/capacity/slopes.json."""
    document: dict[str, Any] = json.loads(text)
    slopes_by_name = {
        name: data.Slope(
            name=name,
            unit=fields["unit"],
            per=fields["per"],
            sizes=tuple(fields["sizes"]),
            values=tuple(fields["values"]),
            slope=fields["slope"],
            intercept=fields["intercept"],
            residual=fields["residual"],
        )
        for name, fields in document["slopes"].items()
    }
    return data.Measurement(
        document["commit"], document["seed"], slopes_by_name
    )


def cost_value(line: data.Cost, record: data.Measurement) -> float:
    """Returns what a line costs, in the unit of its resource."""
    slope = record.slopes_by_name[line.slope]
    return slope.at(line.size) * line.times * line.scale


def generate_tables(record: data.Measurement) -> dict[str, str]:
    """Returns the generated tables by name."""
    return {
        "slopes": _slopes_table(record),
        "roles": _roles_table(record),
        "totals": _totals_table(record),
    }


def replace_tables(page: str, record: data.Measurement) -> str:
    """Returns a page with its marked tables generated again.

    Args:
        page: The text of the page.
        record: The recorded slopes.

    Raises:
        ValueError: If a marker is missing.
    """
    for name, table in generate_tables(record).items():
        start = _START.format(name)
        before, found, rest = page.partition(start)
        _, is_ended, after = rest.partition(_END)
        if not found or not is_ended:
            raise ValueError(f"marker of {name} is missing")
        page = f"{before}{start}\n\n{table}\n{_END}{after}"
    return page


def _slopes_table(record: data.Measurement) -> str:
    """Returns the table of the slopes."""
    rows = [
        (
            f"`{slope.name}`",
            slope.unit,
            slope.per,
            _number(slope.slope),
            _number(slope.intercept),
            f"{slope.residual:.1%}",
            ", ".join(_number(size) for size in slope.sizes),
        )
        for _, slope in sorted(record.slopes_by_name.items())
    ]
    header = ("slope", "unit", "per", "rise", "at zero", "residual", "sizes")
    origin = f"`{_COMMAND} SEED={record.seed}` at commit `{record.commit}`"
    return f"Measured by {origin}.\n\n{_table(header, rows)}"


def _roles_table(record: data.Measurement) -> str:
    """Returns the table of all costs of the roles."""
    rows = [
        (
            line.role,
            line.cause,
            line.mechanism,
            _product(line),
            f"{_number(cost_value(line, record))} {line.resource}",
        )
        for line in capacity.COSTS
    ]
    header = ("role", "cost", "mechanism", "slope times count", "value")
    return _table(header, rows)


def _product(line: data.Cost) -> str:
    """Returns the slope, size and number of a line."""
    times = _number(line.times)
    return f"`{line.slope}` at {_number(line.size)} times {times}"


def _totals_table(record: data.Measurement) -> str:
    """Returns the table of sums against the limits.

    A relay and a keeper are entry hosts too; the sum of a relay has its own
    probes in place of those of an entry host.
    """
    totals: dict[tuple[str, str], float] = {}
    for line in capacity.COSTS:
        key = (line.role, line.resource)
        totals[key] = totals.get(key, 0.0) + cost_value(line, record)
    rows: list[tuple[str, ...]] = []
    for (role, resource), total in totals.items():
        limit = capacity.LIMITS_BY_RESOURCE[resource]
        verdict = "fits" if total <= limit else "**does not fit**"
        rows.append(
            (
                role,
                f"{_number(total)} {resource}",
                f"{_number(limit)} {resource}",
                verdict,
            )
        )
    return _table(("role", "sum", "limit", "verdict"), rows)


def _table(header: tuple[str, ...], rows: Iterable[tuple[str, ...]]) -> str:
    """Returns a table in Markdown."""
    lines = [header, tuple("---" for _ in header), *rows]
    return "".join(f"| {' | '.join(cells)} |\n" for cells in lines)


def _number(value: float) -> str:
    """Returns a number with three significant digits."""
    if value == 0 or not math.isfinite(value):
        return f"{value:g}"
    if abs(value) < _EXACT_BELOW:
        return f"{value:.2g}"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    text = f"{round(value, digits):,.{digits}f}"
    if "." in text:
        text = text.rstrip("0").rstrip(".")
    return text
