"""Results of the measurements: printed lines, checks against bounds, and charts."""

import dataclasses
import pathlib

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

OUT = pathlib.Path("out")


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One measured value; ``str`` gives its printed line.

    Attributes:
      name: What was measured, as words joined by ":"; the first word is the case.
      deployment: The measured deployment.
      baseline: The value that ``ours`` is compared with, or None.
      ours: The measured value.
      bound: Text of the bound, or "-" if the value is only reported.
      is_ok: False if the bound is not met.
    """

    name: str
    deployment: str
    baseline: float | None
    ours: float
    bound: str = "-"
    is_ok: bool = True

    @property
    def case(self):
        """Name of the case."""
        return self.name.partition(":")[0]

    def __str__(self):
        ratio = self.ours / self.baseline if self.baseline else None
        fields = {
            "case": self.name,
            "deployment": self.deployment,
            "baseline": _format_number(self.baseline),
            "ours": _format_number(self.ours),
            "ratio": _format_number(ratio),
            "bound": self.bound,
        }
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        return f"measure: {text} {'ok' if self.is_ok else 'red'}"


def compare_ratio(name, deployment, baseline, ours, max_ratio):
    """Returns a Figure that is red if ``ours`` exceeds ``max_ratio`` times the baseline."""
    return Figure(name, deployment, baseline, ours, f"{max_ratio:g}x", ours <= max_ratio * baseline)


def bound_most(name, deployment, ours, maximum, baseline=None):
    """Returns a Figure that is red if ``ours`` exceeds ``maximum``."""
    return Figure(name, deployment, baseline, ours, f"<={maximum:g}", ours <= maximum)


def bound_least(name, deployment, ours, minimum, baseline=None):
    """Returns a Figure that is red if ``ours`` is below ``minimum``."""
    return Figure(name, deployment, baseline, ours, f">={minimum:g}", ours >= minimum)


def draw_lines(name, title, x_label, y_label, series):
    """Writes a line chart as a PNG file.

    Args:
      name: Name of the file in OUT without its extension.
      title: Title of the chart.
      x_label: Label of the horizontal axis with its unit.
      y_label: Label of the vertical axis with its unit.
      series: Maps the label of each line to a pair of lists, its x and y values.
    """
    OUT.mkdir(exist_ok=True)
    figure, axes = pyplot.subplots(figsize=(9, 5))
    for label, (x_values, y_values) in series.items():
        axes.plot(x_values, y_values, label=label, marker="." if len(x_values) < 30 else None)
    axes.set(title=title, xlabel=x_label, ylabel=y_label)
    axes.grid(alpha=0.3)
    axes.legend()
    figure.savefig(OUT / f"{name}.png", dpi=90)
    pyplot.close(figure)


def draw_bars(name, title, values):
    """Writes a bar chart as a PNG file; ``values`` maps the label of each bar to its height."""
    OUT.mkdir(exist_ok=True)
    figure, axes = pyplot.subplots(figsize=(7, 4))
    axes.bar(list(values), list(values.values()))
    axes.set(title=title)
    axes.grid(axis="y", alpha=0.3)
    figure.savefig(OUT / f"{name}.png", dpi=90)
    pyplot.close(figure)


def _format_number(value):
    return "-" if value is None else f"{value:.4g}"
