"""Test support shared by several packages: stand-ins, drivers and the programs under test."""
