"""Paths in the repository, and the commit that is checked out."""

import pathlib

ROOT = pathlib.Path(__file__).resolve().parents[4]
CAPACITY_PAGE = ROOT / "docs" / "CAPACITY.md"
SLOPES_FILE = ROOT / "docs" / "capacity" / "slopes.json"

_COMMIT_DIGITS = 12
_UNKNOWN_COMMIT = "unknown"


def read_commit() -> str:
    """Returns the commit that is checked out, without starting git.

    It reads HEAD and the reference that HEAD names, loose or packed, also in a
    linked worktree.

    Returns:
        The first 12 digits, or "unknown" if the files are missing.
    """
    git_directory = ROOT / ".git"
    if git_directory.is_file():
        git_directory = (
            ROOT / git_directory.read_text().removeprefix("gitdir:").strip()
        )
    head_file = git_directory / "HEAD"
    if not head_file.exists():
        return _UNKNOWN_COMMIT
    text = head_file.read_text().strip()
    if not text.startswith("ref:"):
        return text[:_COMMIT_DIGITS]
    reference = text.removeprefix("ref:").strip()
    common_directory = git_directory
    common_directory_file = git_directory / "commondir"
    if common_directory_file.exists():
        common_directory = (
            git_directory / common_directory_file.read_text().strip()
        ).resolve()
    for directory in (git_directory, common_directory):
        if (directory / reference).exists():
            return (directory / reference).read_text().strip()[:_COMMIT_DIGITS]
    packed_refs_file = common_directory / "packed-refs"
    if not packed_refs_file.exists():
        return _UNKNOWN_COMMIT
    for entry in packed_refs_file.read_text().splitlines():
        if entry.endswith(f" {reference}"):
            return entry[:_COMMIT_DIGITS]
    return _UNKNOWN_COMMIT
