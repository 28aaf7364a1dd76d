"""Capacity planning: the cost of each role at the operators' size, computed from measured slopes.

`registry` defines measurements, `catalogue` lists their modules; docs/CAPACITY.md is the page.
"""
