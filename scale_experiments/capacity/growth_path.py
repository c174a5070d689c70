"""The path along which the fleet grows."""

from __future__ import annotations

from dataclasses import dataclass

from scale_experiments.target import HEADROOM_FACTOR, Target


@dataclass(slots=True, frozen=True)
class FleetSize:
    """How many routers and caches there are."""

    routers: float
    caches: float


@dataclass(slots=True, frozen=True)
class GrowthPath:
    """The straight line from today's fleet (progress 0) to the target (progress 1), and on."""

    today: FleetSize
    target: FleetSize

    @classmethod
    def to_target(cls, target: Target) -> GrowthPath:
        """The path between the two sizes of target.toml."""
        return cls(
            FleetSize(float(target.today.routers), float(target.today.caches)),
            FleetSize(float(target.target.routers), float(target.target.caches)),
        )

    def size(self, progress: float) -> dict[str, float]:
        """The size at a progress, by the names that formulas use: `t`, `routers` and `caches`."""
        return {
            "t": progress,
            "routers": self.today.routers + (self.target.routers - self.today.routers) * progress,
            "caches": self.today.caches + (self.target.caches - self.today.caches) * progress,
        }

    def size_with_headroom(self) -> dict[str, float]:
        """HEADROOM_FACTOR times the target in both routers and caches, which is a little off the path."""
        return {
            "t": HEADROOM_FACTOR,
            "routers": HEADROOM_FACTOR * self.target.routers,
            "caches": HEADROOM_FACTOR * self.target.caches,
        }
