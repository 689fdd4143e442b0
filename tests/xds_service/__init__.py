"""Tests of the xDS control service.

The package is not named `xds`, since it would then hide the package `xds` that envoy's protos import.
"""
