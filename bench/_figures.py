"""Figures of the measurements: their lines, their verdicts and their pictures."""

import dataclasses
import pathlib

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

OUT = pathlib.Path("out")


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One measured figure.

    Attributes:
      name: What was measured, in words joined by ":"; the first is the case.
      deployment: The measured deployment.
      baseline: The figure that ``ours`` is compared with, or None.
      ours: The measured figure.
      bound: Words of the bound, or "-" if the figure is only reported.
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


def compare_ratio(name, deployment, baseline, ours, most):
    """Makes a Figure that is red if ``ours`` exceeds ``most`` times the baseline."""
    return Figure(name, deployment, baseline, ours, f"{most:g}x", ours <= most * baseline)


def bound_most(name, deployment, ours, most, baseline=None):
    """Makes a Figure that is red if ``ours`` exceeds ``most``."""
    return Figure(name, deployment, baseline, ours, f"<={most:g}", ours <= most)


def bound_least(name, deployment, ours, least, baseline=None):
    """Makes a Figure that is red if ``ours`` is below ``least``."""
    return Figure(name, deployment, baseline, ours, f">={least:g}", ours >= least)


def draw_lines(name, title, x_label, y_label, series):
    """Writes a picture of curves.

    Args:
      name: Name of the file under OUT without its ending.
      title: Title of the picture.
      x_label: Label of the horizontal axis with its unit.
      y_label: Label of the vertical axis with its unit.
      series: Maps a label to a pair of horizontal and vertical values.
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
    """Writes a picture of bars; ``values`` maps a label to a height."""
    OUT.mkdir(exist_ok=True)
    figure, axes = pyplot.subplots(figsize=(7, 4))
    axes.bar(list(values), list(values.values()))
    axes.set(title=title)
    axes.grid(axis="y", alpha=0.3)
    figure.savefig(OUT / f"{name}.png", dpi=90)
    pyplot.close(figure)


def _format_number(value):
    return "-" if value is None else f"{value:.4g}"
