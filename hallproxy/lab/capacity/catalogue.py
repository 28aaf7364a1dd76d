"""Which modules hold measurements. A module that isn't in this list is not run."""

from importlib import import_module

from hallproxy.lab.capacity.registry import Measurement, register

MODULES: tuple[str, ...] = (
    "lists",
    "decisions",
    "serving",
    "starts",
    "purges",
    "stores",
    "second",
    "cold",
    "control",
    "logs",
    "relay",
)
"""Names of modules beside this one, in the order of the page; whoever writes one adds its line."""


def catalogue() -> dict[str, Measurement]:
    """All measurements by name, in the order of `MODULES`, whichever of them was imported first."""
    places = {f"hallproxy.lab.capacity.{module}": place for place, module in enumerate(MODULES)}
    for name in places:
        import_module(name)
    ranked = sorted(register.values(), key=lambda one: places.get(one.body.__module__, len(places)))
    return {one.name: one for one in ranked}
