"""The modules that define measurements. A module that isn't listed here is not run."""

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
"""Modules of this package in the order of the page; add a line for each new module."""


def catalogue() -> dict[str, Measurement]:
    """All measurements by name, in the order of `MODULES` whatever the order of imports."""
    order = {f"hallproxy.lab.capacity.{module}": position for position, module in enumerate(MODULES)}
    for name in order:
        import_module(name)
    ordered = sorted(register.values(), key=lambda one: order.get(one.body.__module__, len(order)))
    return {one.name: one for one in ordered}
