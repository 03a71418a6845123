"""Where the pages are, and which commit is checked out."""

import pathlib

ROOT = pathlib.Path(__file__).resolve().parents[4]
CAPACITY_PAGE = ROOT / "docs" / "CAPACITY.md"
SLOPES_FILE = ROOT / "docs" / "capacity" / "slopes.json"

_SHORT_DIGITS = 12
_UNKNOWN = "unknown"


def read_commit() -> str:
    """Returns the commit that is checked out, without starting a process."""
    git = ROOT / ".git"
    if git.is_file():
        git = ROOT / git.read_text().removeprefix("gitdir:").strip()
    head = git / "HEAD"
    if not head.exists():
        return _UNKNOWN
    text = head.read_text().strip()
    if not text.startswith("ref:"):
        return text[:_SHORT_DIGITS]
    name = text.removeprefix("ref:").strip()
    shared = git
    link = git / "commondir"
    if link.exists():
        shared = (git / link.read_text().strip()).resolve()
    for folder in (git, shared):
        if (folder / name).exists():
            return (folder / name).read_text().strip()[:_SHORT_DIGITS]
    packed = shared / "packed-refs"
    if not packed.exists():
        return _UNKNOWN
    for line in packed.read_text().splitlines():
        if line.endswith(f" {name}"):
            return line[:_SHORT_DIGITS]
    return _UNKNOWN
