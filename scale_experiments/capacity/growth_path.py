"""The growth path: the fleet sizes from today's fleet to the target and beyond."""

from __future__ import annotations

from dataclasses import dataclass

from scale_experiments.target import HEADROOM_FACTOR, Target

TODAY_PROGRESS = 0.0  # progress along the path at today's fleet
TARGET_PROGRESS = 1.0  # progress along the path at the target


@dataclass(slots=True, frozen=True)
class FleetSize:
    """The numbers of routers and caches of a fleet."""

    routers: float
    caches: float


@dataclass(slots=True, frozen=True)
class FleetPoint:
    """A fleet size, and the progress from today's fleet to the target at which the fleet has that size."""

    progress: float
    size: FleetSize

    def variable(self, name: str) -> float | None:
        """Return the value of a variable of formulas: `t`, `routers` or `caches`; None for any other name."""
        match name:
            case "t":
                return self.progress
            case "routers":
                return self.size.routers
            case "caches":
                return self.size.caches
            case _:
                return None


@dataclass(slots=True, frozen=True)
class GrowthPath:
    """The straight line from today's fleet (progress 0) to the target (progress 1) and beyond."""

    today: FleetSize
    target: FleetSize

    @classmethod
    def to_target(cls, target: Target) -> GrowthPath:
        """Create the path through today's size and the target size of target.toml."""
        return cls(
            FleetSize(float(target.today.routers), float(target.today.caches)),
            FleetSize(float(target.target.routers), float(target.target.caches)),
        )

    def at(self, progress: float) -> FleetPoint:
        """Return the point of the path at a progress."""
        size = FleetSize(
            routers=self.today.routers + (self.target.routers - self.today.routers) * progress,
            caches=self.today.caches + (self.target.caches - self.today.caches) * progress,
        )
        return FleetPoint(progress, size)

    def at_today(self) -> FleetPoint:
        """Return the point of today's fleet."""
        return self.at(TODAY_PROGRESS)

    def at_target(self) -> FleetPoint:
        """Return the point of the target."""
        return self.at(TARGET_PROGRESS)

    def with_headroom(self) -> FleetPoint:
        """Return HEADROOM_FACTOR times the target in routers and caches, which is slightly off the path."""
        size = FleetSize(HEADROOM_FACTOR * self.target.routers, HEADROOM_FACTOR * self.target.caches)
        return FleetPoint(HEADROOM_FACTOR, size)
