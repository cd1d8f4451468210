"""The packages' modules have no circular imports, not even for type hints."""

from __future__ import annotations

import ast
import unittest
from collections.abc import Iterator
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

SOURCE = Path(__file__).parent.parent / "src"


def module_name(path: Path) -> str:
    """Return the dotted name of a source file."""
    parts = path.relative_to(SOURCE).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imports_of(path: Path, modules: set[str]) -> Iterator[str]:
    """Yield the modules under ``src`` that a file imports, also for type hints only.

    Args:
        path: The file.
        modules: Dotted names of all modules under ``src``.
    """
    name = module_name(path)
    package = name if path.name == "__init__.py" else name.rpartition(".")[0]
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom):
            continue
        source = node.module or ""
        if node.level:
            parents = package.split(".")
            parents = parents[: len(parents) - node.level + 1]
            source = ".".join([*parents, *filter(None, [node.module])])
        for item in node.names:
            for found in (f"{source}.{item.name}", source):
                if found in modules:
                    yield found
                    break


class StructureTest(unittest.TestCase):
    def test_no_circular_import(self) -> None:
        paths = {module_name(path): path for path in SOURCE.rglob("*.py")}
        graph = {
            name: set(imports_of(path, set(paths))) - {name}
            for name, path in paths.items()
        }
        try:
            TopologicalSorter(graph).prepare()
        except CycleError as error:
            self.fail(f"import circle: {' -> '.join(error.args[1])}")
