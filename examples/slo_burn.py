"""Computes the burn rate of the error budget of a service."""

from sapphire_core.slo import burn
from sapphire_core.slo import counters

WALL_MS = 1_800_000_000_000
slo_counters = counters.SloCounters(WALL_MS)
slo_counters.record_requests("rota", answered=990, total=1_000, wall_ms=WALL_MS)
for series in slo_counters.snapshot(WALL_MS):
    counts = burn.counts_within(series, 3_600_000, WALL_MS)
    print(series.key, burn.burn_rate(counts, target=0.999))
