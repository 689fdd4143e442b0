"""Tests of the xDS control service; a package `xds` here would hide the one that envoy's protos import."""
