"""Rehearsal: a model of engines, clients and trouble, in virtual time and on loopback sockets, led by one
script."""
