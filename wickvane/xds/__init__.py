"""The control service: placement decisions for other proxies, over xDS."""
