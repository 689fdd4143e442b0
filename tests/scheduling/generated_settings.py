"""The settings of generated days, and the deployments that are built from them."""

from dataclasses import dataclass, field

from bench_free import group, site

from wickvane.events import Deployment

CORES = (8, 4)  # by engine kind


@dataclass
class Settings:
    """The settings of one generated day."""

    seed: int
    rounds: int = 2000
    groups: list[dict] = field(default_factory=list)
    deployment: dict = field(default_factory=dict)
    engine_count: int = 6
    queries_per_round: float = 0.7
    tenants: int = 3
    fault_rate: float = 0.02  # probability of a fault in a round
    fault_kinds: tuple[int, ...] = tuple(range(11))
    costs: tuple[int, ...] = (0, 200, 1000, 1000, 4000, 30_000)
    times_left: tuple[int, ...] = (700, 20_000, 70_000, 200_000)
    table_groups: int = 12
    in_fleet: bool = False
    shuts_down: bool = False


def deployment(settings: Settings) -> Deployment:
    """Returns the deployment of a day."""
    shares = [1.0 + 0.5 * tenant for tenant in range(settings.tenants)]
    groups = [group(**changes) for changes in settings.groups]
    built = site(groups, **dict(cores=list(CORES)) | settings.deployment)
    return built._replace(tenants=[(share / sum(shares), 10.0) for share in shares])
