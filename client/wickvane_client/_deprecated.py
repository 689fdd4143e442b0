"""Keeps former names of the library usable: each use of one issues a DeprecationWarning."""

import functools
import warnings


def deprecated_names(module, **names):
    """Returns a module's __getattr__ for `names`, given as former_name="new_name"; module: its globals()."""

    def __getattr__(name):
        if name not in names:
            raise AttributeError(f"module {module['__name__']!r} has no attribute {name!r}")
        warnings.warn(f"{name} is deprecated: use {names[name]}", DeprecationWarning, stacklevel=2)
        return module[names[name]]

    return __getattr__


def deprecated_method(name, new_name, **parameters):
    """Returns a method that issues a warning and calls the method `new_name`.

    parameters: renamed parameters of the method, given as former_name="new_name"."""

    def method(self, *arguments, **options):
        warnings.warn(f"{name} is deprecated: use {new_name}", DeprecationWarning, stacklevel=2)
        options = {parameters.get(option, option): value for option, value in options.items()}
        return getattr(self, new_name)(*arguments, **options)

    return method


def deprecated_attribute(name, new_name):
    """Returns a property that issues a warning and reads or writes the attribute `new_name`."""

    def read(self):
        warnings.warn(f"{name} is deprecated: use {new_name}", DeprecationWarning, stacklevel=2)
        return getattr(self, new_name)

    def write(self, value):
        warnings.warn(f"{name} is deprecated: use {new_name}", DeprecationWarning, stacklevel=2)
        setattr(self, new_name, value)

    return property(read, write)


def deprecated_parameters(**names):
    """Returns a decorator by which a function also takes keyword arguments under their former names.

    names: given as former_name="new_name". Each use of a former name issues a warning."""

    def decorate(function):
        @functools.wraps(function)
        def renaming(*arguments, **options):
            for name, new_name in names.items():
                if name in options:
                    if new_name in options:
                        raise TypeError(f"{name} is a former name of {new_name}: pass one of them")
                    warnings.warn(f"{name} is deprecated: use {new_name}", DeprecationWarning, stacklevel=2)
                    options[new_name] = options.pop(name)
            return function(*arguments, **options)

        return renaming

    return decorate
