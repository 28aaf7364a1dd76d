"""The size to plan for: the operators' numbers, and what follows from them by plain arithmetic."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Size:
    """Rates are per second at the peak; times are s; `control_*` is one gateway's budget for control."""

    gateways: int = 7_100
    sites: int = 590
    stores: int = 1_500
    regions: int = 17
    zones: int = 51
    requests: float = 8e6
    bits: float = 43e12
    objects: float = 3.9e9
    purges: float = 180.0
    purge_deadline: float = 2.4
    changes_a_day: float = 4_300.0
    change_deadline: float = 4.0
    control_core: float = 0.017
    control_mb: float = 256.0
    control_bytes: float = 13_000.0
    control_machines: int = 9
    failed_a_day: float = 42.0
    restarted_a_day: float = 580.0
    racks_a_week: float = 1.0
    zones_a_year: float = 2.0
    partition: float = 3_600.0

    @property
    def site(self) -> float:
        """Gateways at a site."""
        return self.gateways / self.sites

    @property
    def zone_gateways(self) -> float:
        return self.gateways / self.zones

    @property
    def zone_stores(self) -> float:
        return self.stores / self.zones

    @property
    def region_gateways(self) -> float:
        return self.gateways / self.regions

    @property
    def gateway_rate(self) -> float:
        """Requests a second at one gateway."""
        return self.requests / self.gateways

    @property
    def body_kb(self) -> float:
        """KB (1,000 bytes) of a request's body."""
        return self.bits / 8 / self.requests / 1_000

    @property
    def sent_mb(self) -> float:
        """MB (1,000,000 bytes) a second out of one gateway."""
        return self.bits / 8 / self.gateways / 1e6

    @property
    def changes(self) -> float:
        """Changes of configuration a second."""
        return self.changes_a_day / 86_400

    @property
    def followers(self) -> float:
        """Gateways of one control machine."""
        return self.gateways / self.control_machines

    @property
    def list_changes(self) -> float:
        """Changes of the list a second if every failed or restarted machine is a store: gone, new, ready."""
        return 3 * (self.failed_a_day + self.restarted_a_day) / 86_400


SIZE = Size()
