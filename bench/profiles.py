"""The deployments of the two users, which the bench simulates."""

from dataclasses import dataclass

from bench.errors import BadValueError


@dataclass(frozen=True)
class Profile:
    """A deployment; delays are one way, in seconds.

    The service time of a request is drawn from a lognormal distribution with the mean
    `work_mean`, in seconds, and the sigma `work_sigma`; both are assumptions of the
    bench.
    """

    name: str
    service: str
    zones: tuple[str, ...]
    zone_delay: float
    client_delay: float
    workers: int
    cores: float
    memory_mb: int
    slots: int
    connections: int
    queue: int
    work_mean: float
    work_sigma: float
    deadline: float
    entries: int = 3

    @property
    def capacity(self) -> float:
        """Requests per second that all slots together can answer."""
        return self.workers * self.slots / self.work_mean


TATRASTART = Profile(
    name="tatrastart",
    service="booking-core",
    zones=("zilina-a", "zilina-b", "martin-a", "bystrica-a"),
    zone_delay=0.0015,
    client_delay=0.003,
    workers=10,
    cores=30,
    memory_mb=125_000,
    slots=8,
    connections=64,
    queue=16,
    work_mean=0.06,
    work_sigma=0.6,
    deadline=0.5,
)
VERBAND = Profile(
    name="verband",
    service="zuteilung",
    zones=("wuerzburg", "muenchen", "regensburg"),
    zone_delay=0.001,
    client_delay=0.001,
    workers=10,
    cores=60,
    memory_mb=250_000,
    slots=8,
    connections=64,
    queue=16,
    work_mean=0.1,
    work_sigma=0.6,
    deadline=1.0,
)
PROFILE_BY_NAME = {profile.name: profile for profile in (TATRASTART, VERBAND)}


def profile_named(name: str) -> Profile:
    """Return the profile called `name`.

    Raises:
        BadValueError: there is no such profile.

    """
    if name not in PROFILE_BY_NAME:
        raise BadValueError("--profile", name, PROFILE_BY_NAME)
    return PROFILE_BY_NAME[name]
