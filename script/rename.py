"""Rename modules, classes, functions, methods, attributes and parameters.

Rope follows each use over sources, tests and scripts; what it can't follow,
such as attributes of behave's context and texts, is printed afterwards:

    .venv/bin/python script/rename.py OLD NEW
    .venv/bin/python script/rename.py --file LIST

OLD is a dotted name such as `jasperweir.components.quorum.log.Log.append`
(a parameter: `...Log.append.entries`; an instance attribute: `...Log._size`).
NEW is a plain name. LIST holds a pair of these a line, `#` starts a comment.
"""

import argparse
import ast
import pathlib
import re
import subprocess
import sys

import rope.base.project
import rope.refactor.rename

ROOT = pathlib.Path(__file__).resolve().parent.parent
FOLDERS = ("jasperweir", "platform", "standins", "features", "script")
IGNORED = ["*.pyc", ".git", ".venv", "journal", "target", "docs", ".*_cache"]
SHOWN_USES = 40
FunctionNode = ast.FunctionDef | ast.AsyncFunctionDef


def find_module(parts: list[str]) -> tuple[pathlib.Path, list[str]]:
    """Return the file or package of a dotted name and the names inside it."""
    for size in range(len(parts), 0, -1):
        for source in (ROOT, ROOT / "platform", ROOT / "script"):
            path = source.joinpath(*parts[:size])
            file = path.with_suffix(".py")
            if file.exists():
                return file, parts[size:]
            if (path / "__init__.py").exists():
                return path, parts[size:]
    raise LookupError(f"no module for {'.'.join(parts)}")


def find_argument(node: FunctionNode, name: str) -> ast.AST | None:
    """Return the parameter of a function that has this name."""
    args = node.args
    for arg in (*args.posonlyargs, *args.args, *args.kwonlyargs):
        if arg.arg == name:
            return arg
    return None


def find_local(scope: ast.AST, name: str) -> ast.AST | None:
    """Return the node that defines a name inside a module or a class."""
    for node in getattr(scope, "body", []):
        if isinstance(node, ast.ClassDef | FunctionNode):
            if node.name == name:
                return node
        targets = list(getattr(node, "targets", []))
        if isinstance(node, ast.AnnAssign):
            targets = [node.target]
        for target in targets:
            if isinstance(target, ast.Name) and target.id == name:
                return target
    return None


def find_node(scope: ast.AST, name: str) -> ast.AST | None:
    """Return the definition of a name; assignments in a body come last."""
    if isinstance(scope, FunctionNode):
        found = find_argument(scope, name)
        if found is not None:
            return found
    found = find_local(scope, name)
    if found is not None:
        return found
    for node in ast.walk(scope):
        if isinstance(node, ast.Attribute) and node.attr == name:
            if isinstance(node.value, ast.Name) and node.value.id == "self":
                return node
        if isinstance(node, ast.Name) and node.id == name:
            if isinstance(node.ctx, ast.Store):
                return node
    return None


def find_offset(path: pathlib.Path, names: list[str]) -> int:
    """Return the offset of a name's definition in characters."""
    code = path.read_text(encoding="utf-8")
    node: ast.AST = ast.parse(code)
    for name in names:
        found = find_node(node, name)
        if found is None:
            raise LookupError(f"no {'.'.join(names)} in {path}")
        node = found
    lines = code.splitlines(keepends=True)
    line, column = getattr(node, "lineno", 1), getattr(node, "col_offset", 0)
    if isinstance(node, ast.Attribute):
        line, column = node.end_lineno or line, node.end_col_offset or 0
        column -= len(names[-1].encode())
    head = lines[line - 1].encode()[:column].decode()
    start = sum(len(text) for text in lines[: line - 1]) + len(head)
    match = re.compile(rf"\b{re.escape(names[-1])}\b").search(code, start)
    if match is None:
        raise LookupError(f"no {'.'.join(names)} in {path}")
    return match.start()


def rename(project: rope.base.project.Project, old: str, new: str) -> None:
    """Rename one dotted name and print the changed and the open uses."""
    path, names = find_module(old.split("."))
    if path.is_dir() and names:
        path = path / "__init__.py"
    offset = find_offset(path, names) if names else None
    resource = project.get_resource(str(path.relative_to(ROOT)))
    changes = rope.refactor.rename.Rename(
        project, resource, offset
    ).get_changes(new)
    print(f"== {old} -> {new}")
    for changed in changes.get_changed_resources():
        print(f"   {changed.path}")
    project.do(changes)
    name = old.rsplit(".", maxsplit=1)[-1]
    found = subprocess.run(
        ["git", "grep", "-nw", "--", name, *FOLDERS],
        cwd=ROOT,
        check=False,
        capture_output=True,
        text=True,
    ).stdout.splitlines()
    print(f"   {len(found)} uses of the word {name!r} are left")
    for use in found[:SHOWN_USES]:
        print(f"     {use[:110]}")


def main() -> int:
    """Rename what the arguments name; return 1 if something was not found."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter
    )
    parser.add_argument("names", nargs="*", metavar="OLD NEW")
    parser.add_argument("--file", type=pathlib.Path)
    args = parser.parse_args()
    pairs = [tuple(args.names)] if args.names else []
    if args.file:
        for line in args.file.read_text(encoding="utf-8").splitlines():
            words = line.split("#")[0].split()
            if words:
                pairs.append(tuple(words[:2]))
    project = rope.base.project.Project(
        str(ROOT),
        ropefolder=None,
        ignored_resources=IGNORED,
        source_folders=["platform", "script"],
    )
    failed = 0
    for old, new in pairs:
        try:
            rename(project, old, new)
        except Exception as exc:  # the rest of the list is still renamed
            failed += 1
            print(f"!! {old} -> {new}: {type(exc).__name__}: {exc}")
    project.close()
    folders = [folder for folder in FOLDERS if (ROOT / folder).exists()]
    ruff = pathlib.Path(sys.executable).parent / "ruff"
    subprocess.run([ruff, "format", "-q", *folders], cwd=ROOT, check=False)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
