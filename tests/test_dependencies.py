"""Every imported package is declared as a dependency.

Guards against code that works only where a package happens to be installed: a new
machine gets the declared packages only.
"""

import ast
import re
import sys
import tomllib
from importlib.metadata import packages_distributions
from pathlib import Path
from unittest import TestCase

ROOT = Path(__file__).parent.parent
OWN_PACKAGES = {"carobspur", "carobspur_standins", "tests", "experiments", "examples"}
EXAMPLES = {file.stem for file in (ROOT / "examples").glob("*.py")}


def _normalised(name: str) -> str:
    return re.sub(r"[-_.]+", "-", name).lower()


def _distribution(requirement: str) -> str:
    """Return the normalised distribution name of a requirement line."""
    return _normalised(re.match(r"[\w.-]+", requirement).group())


def _declared_by_project(*extras: str) -> set[str]:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    lines = list(project["dependencies"])
    for extra in extras:
        lines += project["optional-dependencies"][extra]
    return {_distribution(line) for line in lines}


def _imports(path: Path) -> tuple[set[str], set[Path]]:
    """Return top-level names of absolute imports, and files of relative imports."""
    absolute: set[str] = set()
    own: set[Path] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.Import(names=names):
                absolute |= {alias.name.split(".")[0] for alias in names}
            case ast.ImportFrom(level=0, module=str(module)):
                absolute.add(module.split(".")[0])
            case ast.ImportFrom(level=level, module=module, names=names) if level:
                package = path.parents[level - 1]
                base = package.joinpath(*(module or "").split("."))
                own |= {base.with_suffix(".py"), base / "__init__.py"}
                own |= {base / f"{alias.name}.py" for alias in names}
    return absolute, {file for file in own if file.is_file()}


def _third_party(file: Path) -> set[str]:
    """Return imported names of neither the standard library nor this repository."""
    names = _imports(file)[0] - set(sys.stdlib_module_names) - OWN_PACKAGES
    return names - EXAMPLES if "src" not in file.parts else names


def _undeclared(files: set[Path], declared: set[str]) -> set[str]:
    known = packages_distributions()
    missing = set()
    for file in files:
        for name in _third_party(file):
            owners = {_normalised(owner) for owner in known.get(name, [name])}
            if not owners & declared:
                missing.add(f"{file.relative_to(ROOT)}: {name}")
    return missing


def _loaded_from(start: Path) -> set[Path]:
    """Return a file and all files that it imports relatively, directly or not."""
    loaded: set[Path] = set()
    waiting = [start]
    while waiting:
        file = waiting.pop()
        if file not in loaded:
            loaded.add(file)
            waiting += _imports(file)[1]
    return loaded


class DependenciesTest(TestCase):
    """Declared dependencies cover all imports."""

    def test_project_declares_what_the_package_imports(self):
        files = set((ROOT / "src").rglob("*.py"))
        self.assertEqual(_undeclared(files, _declared_by_project()), set())

    def test_project_declares_what_tests_and_tools_import(self):
        folders = ("tests", "experiments", "examples")
        files = {file for name in folders for file in (ROOT / name).rglob("*.py")}
        self.assertEqual(_undeclared(files, _declared_by_project("test")), set())

    def test_deployed_folder_declares_what_the_gateway_loads(self):
        lines = (ROOT / "deploy" / "requirements.txt").read_text().split()
        declared = {_distribution(line) for line in lines}
        files = _loaded_from(ROOT / "src/carobspur/platform/main.py")
        self.assertGreater(len(files), 30)
        self.assertEqual(_undeclared(files, declared), set())
