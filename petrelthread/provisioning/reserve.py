"""Cores to keep for work that has not arrived yet, estimated from recent arrivals."""

from __future__ import annotations

from collections.abc import Iterable

WINDOW_S = 90.0  # age in seconds beyond which arrivals do not count
# Minimum time over which the rate of ramping arrivals (see ``Arrivals``) is taken: a single arrival
# counts as one in this time.
MIN_SPAN_S = 30.0
BOOT_MARGIN_S = 10.0  # time beyond its usual boot time that a machine may take
LARGEST_SERVICE_FACTOR = 2.0  # services of the largest recent size that may arrive during a boot
MIN_ZONES_TO_RELOCATE = 3  # with fewer, replicas of a lost zone cannot be placed in the others


class Arrivals:
    """Cores requested by recently accepted jobs of one kind."""

    def __init__(self, arrivals: Iterable[tuple[float, float]] = (), ramping: bool = False) -> None:
        """Start from earlier arrivals.

        Args:
            arrivals: Time and cores of each job.
            ramping: Take the rate over the time since the first arrival instead of the whole
                window, for arrivals that begin at some time and then continue.
        """
        self._arrivals = list(arrivals)
        self._ramping = ramping

    def record(self, now: float, cores: float) -> None:
        """Record an arrival."""
        self._arrivals.append((now, cores))

    def expected_cores(self, now: float, boot_s: float) -> float:
        """Cores likely to be requested while a machine boots, at the present rate."""
        return self._cores_per_s(now) * (boot_s + BOOT_MARGIN_S)

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

    At most half of a service's replicas may be in one zone. With fewer than two zones
    left, no reserve is kept: the last zone already has all the replicas that it may have.

    Args:
        spread_cores: Cores of the services that are spread over all zones.
        zones: How many zones are reachable.
    """
    if zones < MIN_ZONES_TO_RELOCATE:
        return 0.0
    return spread_cores / (zones - 1)


def service_reserve_cores(
    services: Arrivals, now: float, boot_s: float, spread_cores: float, zones: int
) -> float:
    """Cores to keep for replicas of services that may arrive, and for replicas of a lost zone.

    It is the sum of both, since services keep arriving while replacement machines boot.
    """
    arriving = services.expected_cores(now, boot_s)
    likely = max(arriving, LARGEST_SERVICE_FACTOR * services.largest_cores(now))
    return likely + zone_loss_reserve(spread_cores, zones)
