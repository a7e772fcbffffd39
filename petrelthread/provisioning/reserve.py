"""Cores to keep for work that has not arrived yet, estimated from recent arrivals."""

from __future__ import annotations

from collections.abc import Iterable

WINDOW_S = 90.0  # only arrivals within this time count
MIN_SPAN_S = 30.0  # a single arrival is not taken for a higher rate than one in this time
SLOW_BOOT_S = 10.0  # that a machine may take beyond its usual boot time
NEXT_TO_LARGEST = 2.0  # services as large as the largest recent one that may arrive during a boot
MIN_ZONES_TO_MOVE = 3  # with fewer zones, replicas of a lost zone cannot move to the others


class Arrivals:
    """Cores that recently accepted jobs of some kind ask for."""

    def __init__(self, arrivals: Iterable[tuple[float, float]] = (), ramping: bool = False) -> None:
        """Start from earlier arrivals.

        Args:
            arrivals: Instant and cores of each job.
            ramping: Arrivals begin at some moment and go on from there, so their rate is taken over
                the time since the first one instead of the whole window.
        """
        self._arrivals = list(arrivals)
        self._ramping = ramping

    def record(self, now: float, cores: float) -> None:
        """Count an arrival."""
        self._arrivals.append((now, cores))

    def expected_cores(self, now: float, boot_s: float) -> float:
        """Cores likely to be asked for while a machine boots, at the present rate."""
        return self._cores_per_s(now) * (boot_s + SLOW_BOOT_S)

    def largest_cores(self, now: float) -> float:
        """Cores of the largest recent job; 0 without any."""
        self._expire(now)
        return max((cores for _, cores in self._arrivals), default=0.0)

    def _cores_per_s(self, now: float) -> float:
        self._expire(now)
        return sum(cores for _, cores in self._arrivals) / self._span_s(now)

    def _span_s(self, now: float) -> float:
        """The time over which the rate is taken."""
        if not self._ramping:
            return WINDOW_S
        first_at = min((at for at, _ in self._arrivals), default=now)
        return min(WINDOW_S, max(MIN_SPAN_S, now - first_at))

    def _expire(self, now: float) -> None:
        self._arrivals = [(at, cores) for at, cores in self._arrivals if now - at < WINDOW_S]


def zone_loss_reserve(spread_cores: float, zones: int) -> float:
    """Cores that the other zones need if one of ``zones`` is lost.

    With two zones left, half of a service's replicas may be in each. With fewer, no reserve is
    kept: the zone that is left already has all the replicas that it may have.

    Args:
        spread_cores: Cores of the services that are spread over all zones.
        zones: How many zones are up.
    """
    if zones < MIN_ZONES_TO_MOVE:
        return 0.0
    return spread_cores / (zones - 1)


def standing_reserve(
    services: Arrivals, now: float, boot_s: float, spread_cores: float, zones: int
) -> float:
    """Cores to keep for replicas of services that may arrive, and of those in a lost zone.

    It is the sum of both, since services go on arriving while machines boot for the lost ones.
    """
    arriving = services.expected_cores(now, boot_s)
    likely = max(arriving, NEXT_TO_LARGEST * services.largest_cores(now))
    return likely + zone_loss_reserve(spread_cores, zones)
