"""Steps of operators_page.feature."""

import pathlib
import re

from behave import then

from bench import operators_page
from skylarksill import settings

PACKAGE = pathlib.Path(settings.__file__).parent
PREFIX_PATTERN = re.compile(r'make_logger\("(\w+)"\)')
METRIC_PATTERN = re.compile(r'metrics\.(?:count|time|gauge)\(\s*f?"([^"{]+)')


def read_page():
    return operators_page.PAGE.read_text(encoding="utf-8")


@then("writing the tables of docs/operators.md again changes nothing")
def step_tables(context):
    assert operators_page.render_page(read_page()) == read_page()


@then("the page names section, key and default of every setting of the schema")
def step_settings(context):
    page = read_page()
    for setting in settings.SCHEMA:
        row = next(
            line
            for line in page.splitlines()
            if line.startswith(f"| `[{setting.section}]` | `{setting.key}` |")
        )
        assert setting.meaning in row, row
        assert not setting.default or f"`{setting.default}`" in row, row


@then("the page names every log prefix and every metric of the package")
def step_names(context):
    page = read_page()
    sources = [path.read_text(encoding="utf-8") for path in sorted(PACKAGE.rglob("*.py"))]
    prefixes = {name for source in sources for name in PREFIX_PATTERN.findall(source)}
    metrics = {name for source in sources for name in METRIC_PATTERN.findall(source)}
    assert {"cli", "agent"} <= prefixes and "verdict." in metrics
    missing = [name for name in prefixes if f"| `{name}:` |" not in page]
    missing += [name for name in metrics if f"| `{name}" not in page]
    assert not missing, missing
