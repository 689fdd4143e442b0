"""An earlier commit's decision package runs in rehearsals from its source, as a variant."""

from pathlib import Path

from wickvane import scheduling
from wickvane.rehearsal import cells, earlier_modules, experiment, world
from wickvane.rehearsal import script as scripts

ROOT = Path(__file__).resolve().parents[2]
DAY = """rehearsal {
    length "6s"
    gateways 3
    engines "e" count=4 cores=4 disks=4
    group "lookup" { work "100ms"; promise "600ms"; timeout "2s" }
    clients "a" { group "lookup"; rate 90; retries 2; back-off "200ms" }
    budget free=3 share=0.1 window="5s"
    trouble "reset" at="2s" part=0.5
    trouble "silent" at="3s" for="1s" part=0.25
}"""


def text_here(revision: str, path: str) -> str | None:
    """Replaces git: returns the files of this work tree as those of any commit."""
    file = ROOT / path
    return file.read_text(encoding="utf-8") if file.is_file() else None


def test_a_package_loaded_from_its_source_decides_like_the_imported_one():
    earlier, _ = earlier_modules.load("abc", text_here)
    script = scripts.read_text(DAY)
    figures = [experiment.figures(world.play(script, 1, False, kind)) for kind in (earlier, cells.Scheduler)]
    assert figures[0] == figures[1] and figures[0]["service"] > 0


def test_the_text_that_identifies_a_variant_contains_all_files_of_the_package():
    _, text = earlier_modules.load("abc", text_here)
    here = cells.module_text("here")
    files = sorted(Path(scheduling.__path__[0]).glob("*.py"))
    assert len(files) > 8
    for file in files:
        assert file.read_text(encoding="utf-8") in here
    for name in ("scheduler", "placement", "retries"):
        assert (ROOT / "wickvane/scheduling" / f"{name}.py").read_text(encoding="utf-8") in text
