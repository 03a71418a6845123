"""Measures all slopes, and writes them to slopes.json and docs/CAPACITY.md.

Run with `make measure-slopes SEED=n`; the last line is one JSON object.
"""

import argparse
import json

from sapphire_lab.slopes import capacity
from sapphire_lab.slopes import configuration_slopes
from sapphire_lab.slopes import data
from sapphire_lab.slopes import flow_slopes
from sapphire_lab.slopes import membership_slopes
from sapphire_lab.slopes import repository
from sapphire_lab.slopes import tables


def measure(seed: int) -> data.Measurement:
    """Measures all slopes.

    Args:
        seed: Seeds the random choices.
    """
    slopes = [
        *flow_slopes.measure(),
        *configuration_slopes.measure(),
        *membership_slopes.measure(seed),
    ]
    return data.Measurement(
        commit=repository.read_commit(),
        seed=seed,
        slopes_by_name={slope.name: slope for slope in slopes},
    )


def main() -> None:
    """Measures and prints the slopes, and writes both files."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    measurement = measure(seed)
    for slope in measurement.slopes_by_name.values():
        print(
            f"{slope.name}: {slope.slope:.4g} {slope.unit} per {slope.per},"
            f" {slope.intercept:.4g} at zero, residual {slope.residual:.1%},"
            f" {dict(zip(slope.sizes, slope.values, strict=True))}"
        )
    repository.SLOPES_FILE.parent.mkdir(parents=True, exist_ok=True)
    repository.SLOPES_FILE.write_text(tables.encode(measurement))
    page = repository.CAPACITY_PAGE.read_text()
    repository.CAPACITY_PAGE.write_text(
        tables.replace_tables(page, measurement)
    )
    summary = {
        "seed": seed,
        "commit": measurement.commit,
        "slopes": {
            name: slope.slope
            for name, slope in measurement.slopes_by_name.items()
        },
        "residuals": {
            name: slope.residual
            for name, slope in measurement.slopes_by_name.items()
        },
        "lines": len(capacity.COSTS),
    }
    print(json.dumps(summary))


if __name__ == "__main__":
    main()
