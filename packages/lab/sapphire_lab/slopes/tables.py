"""Generates the tables of docs/CAPACITY.md from the recorded slopes."""

from collections.abc import Iterable
import json
import math
from typing import Any

from sapphire_lab.slopes import capacity
from sapphire_lab.slopes import data

_COMMAND = "make measure-slopes"
_START = "<!-- generated: {} -->"
_END = "<!-- end of generated -->"
_TWO_DIGITS_BELOW = 0.01


def encode(measurement: data.Measurement) -> str:
    """Returns a measurement as the text of docs/capacity/slopes.json."""
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
        for name, slope in sorted(measurement.slopes_by_name.items())
    }
    document = {
        "commit": measurement.commit,
        "seed": measurement.seed,
        "slopes": slopes,
    }
    return json.dumps(document, indent=1) + "\n"


def decode(text: str) -> data.Measurement:
    """Returns the measurement in the text of docs/capacity/slopes.json."""
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


def cost_value(cost: data.Cost, measurement: data.Measurement) -> float:
    """Returns the value of a cost, in the unit of its resource."""
    slope = measurement.slopes_by_name[cost.slope]
    return slope.at(cost.size) * cost.times * cost.scale


def generate_tables(measurement: data.Measurement) -> dict[str, str]:
    """Returns the generated tables by name."""
    return {
        "slopes": _slopes_table(measurement),
        "roles": _roles_table(measurement),
        "totals": _totals_table(measurement),
    }


def replace_tables(page: str, measurement: data.Measurement) -> str:
    """Returns a page with the tables between its markers generated anew.

    Args:
        page: The text of the page.
        measurement: The recorded slopes.

    Raises:
        ValueError: If a marker is missing.
    """
    for name, table in generate_tables(measurement).items():
        start = _START.format(name)
        before, has_start, rest = page.partition(start)
        _, has_end, after = rest.partition(_END)
        if not has_start or not has_end:
            raise ValueError(f"marker of {name} is missing")
        page = f"{before}{start}\n\n{table}\n{_END}{after}"
    return page


def _slopes_table(measurement: data.Measurement) -> str:
    """Returns the table of the slopes."""
    rows = [
        (
            f"`{slope.name}`",
            slope.unit,
            slope.per,
            _format_number(slope.slope),
            _format_number(slope.intercept),
            f"{slope.residual:.1%}",
            ", ".join(_format_number(size) for size in slope.sizes),
        )
        for _, slope in sorted(measurement.slopes_by_name.items())
    ]
    header = ("slope", "unit", "per", "rise", "at zero", "residual", "sizes")
    origin = (
        f"`{_COMMAND} SEED={measurement.seed}` at commit `{measurement.commit}`"
    )
    return f"Measured by {origin}.\n\n{_format_table(header, rows)}"


def _roles_table(measurement: data.Measurement) -> str:
    """Returns the table of the costs of all roles."""
    rows = [
        (
            cost.role,
            cost.cause,
            cost.mechanism,
            _format_product(cost),
            f"{_format_number(cost_value(cost, measurement))} {cost.resource}",
        )
        for cost in capacity.COSTS
    ]
    header = ("role", "cost", "mechanism", "slope times count", "value")
    return _format_table(header, rows)


def _format_product(cost: data.Cost) -> str:
    """Returns the slope, the size and the count of a cost."""
    times = _format_number(cost.times)
    return f"`{cost.slope}` at {_format_number(cost.size)} times {times}"


def _totals_table(measurement: data.Measurement) -> str:
    """Returns the table of the sum for each role and resource, and its limit.

    A relay and a replica host are entry hosts too. The sum of a relay contains
    its own probes instead of those of an entry host.
    """
    totals: dict[tuple[str, str], float] = {}
    for cost in capacity.COSTS:
        key = (cost.role, cost.resource)
        totals[key] = totals.get(key, 0.0) + cost_value(cost, measurement)
    rows: list[tuple[str, ...]] = []
    for (role, resource), total in totals.items():
        limit = capacity.LIMITS_BY_RESOURCE[resource]
        verdict = "fits" if total <= limit else "**does not fit**"
        rows.append(
            (
                role,
                f"{_format_number(total)} {resource}",
                f"{_format_number(limit)} {resource}",
                verdict,
            )
        )
    return _format_table(("role", "sum", "limit", "verdict"), rows)


def _format_table(
    header: tuple[str, ...], rows: Iterable[tuple[str, ...]]
) -> str:
    """Formats a table in Markdown."""
    lines = [header, tuple("---" for _ in header), *rows]
    return "".join(f"| {' | '.join(cells)} |\n" for cells in lines)


def _format_number(value: float) -> str:
    """Formats a number with three significant digits."""
    if value == 0 or not math.isfinite(value):
        return f"{value:g}"
    if abs(value) < _TWO_DIGITS_BELOW:
        return f"{value:.2g}"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    text = f"{round(value, digits):,.{digits}f}"
    if "." in text:
        text = text.rstrip("0").rstrip(".")
    return text
