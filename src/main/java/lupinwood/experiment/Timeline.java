package lupinwood.experiment;

import java.awt.Color;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** How many nodes run which version, and how many are out, over a release; it can be drawn. */
final class Timeline {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 420;
    private static final int MOST = 4000;

    private record Row(double at, int old, int changed, int out) {}

    private final List<Row> rows = new ArrayList<>();

    /**
     * @param at seconds since the release began
     */
    synchronized void add(double at, int old, int changed, int out) {
        if (rows.size() < MOST) {
            rows.add(new Row(at, old, changed, out));
        }
    }

    /** Writes a PNG. */
    synchronized void draw(Path to, String title) throws IOException {
        XYChart chart =
                new XYChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .title(title)
                        .xAxisTitle("seconds since it began")
                        .yAxisTitle("nodes")
                        .build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideS);
        chart.getStyler().setLegendLayout(Styler.LegendLayout.Horizontal);
        chart.getStyler().setChartBackgroundColor(Color.WHITE);
        double[] at = rows.stream().mapToDouble(Row::at).toArray();
        line(
                chart,
                "run what they ran before",
                at,
                rows.stream().mapToDouble(Row::old).toArray(),
                Color.GRAY);
        line(
                chart,
                "run what is released",
                at,
                rows.stream().mapToDouble(Row::changed).toArray(),
                new Color(0x2060A0));
        line(
                chart,
                "out, whatever the reason",
                at,
                rows.stream().mapToDouble(Row::out).toArray(),
                new Color(0xC04020));
        BitmapEncoder.saveBitmap(chart, to.toString(), BitmapEncoder.BitmapFormat.PNG);
    }

    private static void line(
            XYChart chart, String name, double[] at, double[] values, Color color) {
        XYSeries series = chart.addSeries(name, at, values);
        series.setXYSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Step);
        series.setMarker(SeriesMarkers.NONE);
        series.setLineColor(color);
    }
}
