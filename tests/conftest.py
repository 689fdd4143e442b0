"""Generated inputs, and so the verdict, are the same on each run.

--hypothesis-profile=search draws new ones."""

from hypothesis import settings

settings.register_profile("same", derandomize=True)
settings.register_profile("search", settings.get_profile("default"))
settings.load_profile("same")
