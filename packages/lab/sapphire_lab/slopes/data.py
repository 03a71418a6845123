"""Measured slopes, and the costs on the capacity page that use them."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A straight line through measurements at several sizes.

    Attributes:
        name: The name by which costs refer to it.
        unit: The unit of the values, such as `bytes`.
        per: What one step of the size is, such as `known host`.
        sizes: The sizes at which it was measured.
        values: The value measured at each size.
        slope: The rise of the value for each step of the size.
        intercept: The value at size zero.
        residual: The largest distance of a value from the line, as a share
            of the largest value.
    """

    name: str
    unit: str
    per: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Returns the value of the line at a size, at least zero."""
        return max(0.0, self.intercept + self.slope * size)


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """The slopes of one measurement, as docs/capacity/slopes.json has them.

    Attributes:
        commit: The commit that was measured.
        seed: The seed of the random choices.
        slopes_by_name: The slopes.
    """

    commit: str
    seed: int
    slopes_by_name: dict[str, Slope]


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """One cost of one role: a row of the table of roles.

    Its value is the slope's value at `size`, times `times`, times `scale`.

    Attributes:
        role: The kind of host, tool or store that has the cost.
        resource: The resource, a key of `capacity.LIMITS_BY_RESOURCE`.
        cause: What causes the cost.
        mechanism: The part of the design that it comes from.
        slope: The name of the slope.
        size: The size at which the value of the slope is taken.
        times: How often a second the cost occurs, or how many there are.
        scale: Converts the unit of the slope to that of the resource.
    """

    role: str
    resource: str
    cause: str
    mechanism: str
    slope: str
    size: float
    times: float = 1.0
    scale: float = 1.0
