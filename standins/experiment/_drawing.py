"""Draws shares against offered load."""


def plot(curves, path, title):
    """Draw curves as SVG.

    pygal is needed for nothing else, so it is loaded here.

    Args:
        curves: points of each curve by its name, pairs of load and share.
        path: file to write.
        title: title of the drawing.
    """
    import pygal

    chart = pygal.XY(
        title=title,
        x_title='offered load / capacity',
        range=(0, 1),
        # The usual scripts would be loaded from the network.
        js=(),
    )
    for name, points in curves.items():
        chart.add(name, points)
    chart.render_to_file(path)
