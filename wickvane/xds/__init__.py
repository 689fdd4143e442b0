"""The control service: an xDS management server that sends placement decisions to other proxies."""
