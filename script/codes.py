"""Write docs/RESULT_CODES.md from the table in the code."""

import pathlib

from jasperweir import result_codes

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEAD = """# Result codes

Made by `python script/codes.py` from `jasperweir/result_codes.py`; a test
holds the two against each other. Every answer of the system carries the
number in the header `Jasperweir-Code` and, where it speaks of a request, the
outcome in `Jasperweir-Outcome`:

- `completed`: the answer is whole;
- `not_run`: no target has run it, and none will;
- `running`: the first run of this key goes on;
- `unknown`: neither can be said.

A resend of a keyed request that this entry refuses before it has asked the
key's owners is told `unknown` instead of `not_run`, unless the caller says by
`Jasperweir-Attempt: 1` that no earlier try may have run. `retry` says whether
the same request may be sent again; `Retry-After` and `retry_after_s` say when.

1xxx done, 2xxx not run, 3xxx unknown or running, 4xxx the request is wrong,
5xxx operators' orders.

| code | name | HTTP | outcome | retry | meaning |
| --- | --- | --- | --- | --- | --- |
"""


def main() -> None:
    """Write the page."""
    lines = [
        f"| {int(code)} | {code.name.lower()} | {row.http} | "
        f"{row.outcome or ''} | {'yes' if row.retry else 'no'} | {row.text} |"
        for code, row in sorted(result_codes.TABLE.items())
    ]
    text = HEAD + "\n".join(lines) + "\n"
    (ROOT / "docs" / "RESULT_CODES.md").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
