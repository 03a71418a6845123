"""Least-squares fit of a line through measurements at several sizes."""

import numpy

from sapphire_lab.slopes import data

MIN_SIZES = 3
_SIGNIFICANT_DIGITS = 6


def fit_line(
    name: str, unit: str, per: str, values_by_size: dict[float, float]
) -> data.Slope:
    """Fits a line by least squares.

    Args:
        name: The name of the slope.
        unit: The unit of the values.
        per: What one step of the size is.
        values_by_size: The measured values, at three sizes or more.

    Returns:
        The fitted line with its residual.

    Raises:
        ValueError: If there are too few sizes.
    """
    if len(values_by_size) < MIN_SIZES:
        raise ValueError(f"{name}: {len(values_by_size)} sizes")
    # Fitted to the rounded values, because those are recorded: the line can be
    # reproduced from the record.
    rounded_values = [_round(value) for value in values_by_size.values()]
    sizes = numpy.array(list(values_by_size), dtype=float)
    values = numpy.array(rounded_values, dtype=float)
    slope, intercept = numpy.polyfit(sizes, values, 1)
    distances = numpy.abs(slope * sizes + intercept - values)
    largest = float(numpy.abs(values).max())
    residual = float(distances.max()) / largest if largest else 0.0
    return data.Slope(
        name=name,
        unit=unit,
        per=per,
        sizes=tuple(float(size) for size in sizes),
        values=tuple(rounded_values),
        slope=_round(slope),
        intercept=_round(intercept),
        residual=round(residual, 3),
    )


def _round(value: float) -> float:
    """Returns a value rounded to six significant digits."""
    return float(f"{float(value):.{_SIGNIFICANT_DIGITS}g}")
