package org.ternhinge.zone.report;

import java.awt.Color;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.axis.SymbolAxis;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.StandardXYBarPainter;
import org.jfree.chart.renderer.xy.XYBarRenderer;
import org.jfree.chart.renderer.xy.XYStepRenderer;
import org.jfree.data.xy.XYIntervalSeries;
import org.jfree.data.xy.XYIntervalSeriesCollection;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.ternhinge.zone.ZoneState;

/** Renders the plots of a report as PNG images. */
final class ZoneCharts {
  private static final int WIDTH = 960;
  private static final int HEIGHT = 320;
  private static final double MILLIS_PER_S = 1000;

  /** Half the height of a zone's bar, as a fraction of the row height. */
  private static final double BAR_HALF_HEIGHT = 0.35;

  private static final String TIME_AXIS_LABEL = "seconds since the first event";

  private final ZoneHistory history;

  ZoneCharts(ZoneHistory history) {
    this.history = history;
  }

  private static byte[] png(JFreeChart chart) throws IOException {
    chart.setBackgroundPaint(Color.WHITE);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ChartUtils.writeChartAsPNG(out, chart, WIDTH, HEIGHT);
    return out.toByteArray();
  }

  private double seconds(long millis) {
    return (millis - history.fromMillis()) / MILLIS_PER_S;
  }

  // ---- states -----------------------------------------------------------------------------------

  /** Renders the state of each zone over time. */
  byte[] states() throws IOException {
    List<String> zones = List.copyOf(history.zones());
    XYIntervalSeriesCollection data = new XYIntervalSeriesCollection();
    XYBarRenderer renderer = new XYBarRenderer();
    renderer.setUseYInterval(true);
    renderer.setShadowVisible(false);
    renderer.setBarPainter(new StandardXYBarPainter());
    for (ZoneState state : ZoneState.values()) {
      renderer.setSeriesPaint(data.getSeriesCount(), color(state));
      data.addSeries(bars(state, zones));
    }
    SymbolAxis names = new SymbolAxis(null, zones.toArray(new String[0]));
    XYPlot plot = new XYPlot(data, new NumberAxis(TIME_AXIS_LABEL), names, renderer);
    return png(new JFreeChart("Zones", plot));
  }

  /** Returns one bar for each interval of a zone in the given state. */
  private XYIntervalSeries bars(ZoneState state, List<String> zones) {
    XYIntervalSeries series = new XYIntervalSeries(state.label());
    for (ZoneHistory.Interval interval : history.intervals()) {
      if (interval.state() == state) {
        double from = seconds(interval.fromMillis());
        double to = seconds(interval.toMillis());
        double row = zones.indexOf(interval.zone());
        series.add(from, from, to, row, row - BAR_HALF_HEIGHT, row + BAR_HALF_HEIGHT);
      }
    }
    return series;
  }

  private static Color color(ZoneState state) {
    return switch (state) {
      case AVAILABLE -> new Color(0x2e8b57);
      case SUSPECT -> new Color(0xe0a800);
      case UNAVAILABLE -> new Color(0xb22222);
      case RECOVERING -> new Color(0x4682b4);
    };
  }

  // ---- moves and starts -------------------------------------------------------------------------

  /** Renders the cumulative number of moved tasks, one line per tier. */
  byte[] moves() throws IOException {
    Map<String, XYSeries> lines = new HashMap<>();
    Map<String, Integer> totals = new HashMap<>();
    XYSeriesCollection data = new XYSeriesCollection();
    for (String tier : history.tiers().keySet()) {
      XYSeries line = new XYSeries(tier);
      line.add(0, 0);
      lines.put(tier, line);
      data.addSeries(line);
    }
    for (ZoneHistory.Move move : history.moves()) {
      int total = totals.merge(move.tier(), move.tasks(), Integer::sum);
      lines.get(move.tier()).add(seconds(move.atMillis()), total);
    }
    return steps("Tasks moved, by tier", "tasks", data);
  }

  /** Renders the starts per second in each recovering zone. */
  byte[] starts() throws IOException {
    Map<String, Map<Integer, Integer>> perSecond = new HashMap<>();
    for (ZoneHistory.Starts started : history.starts()) {
      int second = (int) seconds(started.atMillis());
      perSecond
          .computeIfAbsent(started.zone(), zone -> new HashMap<>())
          .merge(second, started.tasks(), Integer::sum);
    }
    XYSeriesCollection data = new XYSeriesCollection();
    int last = (int) seconds(history.toMillis()) + 1;
    for (Map.Entry<String, Map<Integer, Integer>> zone : perSecond.entrySet()) {
      XYSeries line = new XYSeries(zone.getKey());
      for (int second = 0; second <= last; second++) {
        line.add(second, zone.getValue().getOrDefault(second, 0));
      }
      data.addSeries(line);
    }
    return steps("Starts in recovering zones", "starts per second", data);
  }

  private static byte[] steps(String title, String unit, XYSeriesCollection data)
      throws IOException {
    JFreeChart chart =
        ChartFactory.createXYLineChart(
            title, TIME_AXIS_LABEL, unit, data, PlotOrientation.VERTICAL, true, false, false);
    XYPlot plot = chart.getXYPlot();
    plot.setRenderer(new XYStepRenderer());
    return png(chart);
  }
}
