"""Capacity planning: what each role costs at the operators' size, worked out from slopes that were measured.

`registry` holds the measurements, `catalogue` lists their modules; docs/CAPACITY.md is the page.
"""
