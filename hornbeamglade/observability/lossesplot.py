"""Plot of failed and late requests over time."""

import pathlib

from hornbeamglade.core import codederrors
from hornbeamglade.observability import losses

_FIGURE_INCHES = (11, 5)


def plot(found: losses.Losses, path: pathlib.Path) -> None:
    """Plot the number of losses per time window, with a colour for each cause.

    :param path: the output file; its suffix sets the format.
    :raises CodedError: ``plot_unavailable`` when matplotlib is not installed.
    """
    try:
        import matplotlib.figure as figures
    except ImportError as error:
        detail = "plots need matplotlib: install hornbeamglade[plot]"
        raise codederrors.CodedError("plot_unavailable", detail) from error
    figure = figures.Figure(figsize=_FIGURE_INCHES, layout="constrained")
    axis = figure.subplots()
    rows = losses.by_window(found)
    height_by_window: dict[str, int] = {}
    for cause in sorted({row.cause for row in rows}, key=lambda each: each.value):
        count_by_window = {row.key: row.count for row in rows if row.cause is cause}
        windows = [float(window) for window in count_by_window]
        bottoms = [height_by_window.get(window, 0) for window in count_by_window]
        axis.bar(
            windows,
            list(count_by_window.values()),
            width=losses.WINDOW_S * 0.9,
            bottom=bottoms,
            align="edge",
            label=cause.value,
        )
        for window, count in count_by_window.items():
            height_by_window[window] = height_by_window.get(window, 0) + count
    axis.set_xlabel("seconds from the first request")
    axis.set_ylabel("requests not served whole and on time")
    if rows:
        axis.legend()
    figure.savefig(path)
