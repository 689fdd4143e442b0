"""Keeps former names of the library usable: each use of one issues a DeprecationWarning."""

import warnings


def deprecated_names(module, **names):
    """Returns a module's __getattr__ for `names`, given as former_name="new_name"; module: its globals()."""

    def __getattr__(name):
        if name not in names:
            raise AttributeError(f"module {module['__name__']!r} has no attribute {name!r}")
        warnings.warn(f"{name} is deprecated: use {names[name]}", DeprecationWarning, stacklevel=2)
        return module[names[name]]

    return __getattr__


def deprecated_method(name, new_name):
    """Returns a method that issues a warning and calls the method `new_name`."""

    def method(self, *arguments, **options):
        warnings.warn(f"{name} is deprecated: use {new_name}", DeprecationWarning, stacklevel=2)
        return getattr(self, new_name)(*arguments, **options)

    return method
