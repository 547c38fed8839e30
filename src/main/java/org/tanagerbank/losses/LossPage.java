package org.tanagerbank.losses;

import com.google.common.html.HtmlEscapers;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tanagerbank.losses.LossReport.Counts;
import org.tanagerbank.losses.LossReport.IntervalRow;

/**
 * Draws a report as one page that needs nothing else: a bar for each interval, split by cause, and
 * tables. Stateless and thread-safe.
 */
final class LossPage {
  private static final int WIDTH = 1_000;
  private static final int HEIGHT = 260;
  private static final String STYLE =
      "body{font:14px sans-serif;margin:24px}table{border-collapse:collapse;margin:12px 0}"
          + "td,th{padding:2px 10px;border-bottom:1px solid #ddd;text-align:right}"
          + "td:first-child,th:first-child,td:last-child{text-align:left}"
          + ".key span{display:inline-block;width:12px;height:12px;margin:0 4px 0 14px}";

  private LossPage() {}

  /** Returns the page as HTML. */
  static String of(LossReport report) {
    return "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Lost requests</title>"
        + "<style>"
        + STYLE
        + "</style><h1>Lost requests</h1>"
        + "<p>"
        + escape(report.toText().get(0))
        + "</p>"
        + report.problems().stream()
            .map(p -> "<p><strong>Partial:</strong> " + escape(p) + "</p>")
            .collect(Collectors.joining())
        + "<h2>By time</h2>"
        + plot(report)
        + key(report.totals())
        + "<h2>By cause</h2>"
        + causes(report.totals())
        + "<h2>By route</h2>"
        + routes(report)
        + "</html>\n";
  }

  private static String plot(LossReport report) {
    if (report.intervals().isEmpty()) {
      return "<p>No request ended.</p>";
    }
    long first = report.intervals().get(0).startSecond();
    long last = report.intervals().get(report.intervals().size() - 1).startSecond();
    double barWidth = (double) WIDTH / ((last - first) / report.intervalSeconds() + 1);
    long most = report.intervals().stream().mapToLong(i -> i.counts().lost()).max().orElse(0);
    double scale = (double) HEIGHT / Math.max(1, most);
    String bars =
        report.intervals().stream()
            .map(
                i -> {
                  long index = (i.startSecond() - first) / report.intervalSeconds();
                  return bar(i, index * barWidth, barWidth, scale);
                })
            .collect(Collectors.joining());
    return String.format(
            Locale.ROOT,
            "<svg viewBox=\"0 0 %d %d\" width=\"%d\" height=\"%d\" role=\"img\">"
                + "<rect width=\"%d\" height=\"%d\" fill=\"#f7f7f7\"/>",
            WIDTH,
            HEIGHT,
            WIDTH,
            HEIGHT,
            WIDTH,
            HEIGHT)
        + bars
        + "</svg><p>"
        + escape(
            "From "
                + report.intervals().get(0).start()
                + ", bars of "
                + report.intervalSeconds()
                + " s, up to "
                + most
                + " lost requests.")
        + "</p>";
  }

  /** Draws one interval from the bottom up, a rectangle for each cause. */
  private static String bar(IntervalRow interval, double x, double width, double scale) {
    StringBuilder rectangles = new StringBuilder();
    double top = HEIGHT;
    for (Cause cause : Cause.values()) {
      long lost = interval.counts().causes().getOrDefault(cause.label(), 0L);
      if (lost > 0) {
        double height = lost * scale;
        top -= height;
        rectangles.append(
            String.format(
                Locale.ROOT,
                "<rect x=\"%.2f\" y=\"%.2f\" width=\"%.2f\" height=\"%.2f\" fill=\"%s\">"
                    + "<title>%s</title></rect>",
                x,
                top,
                Math.max(1, width),
                height,
                cause.colour(),
                escape(interval.start() + ": " + lost + " " + cause.label())));
      }
    }
    return rectangles.toString();
  }

  private static String key(Counts totals) {
    return Stream.of(Cause.values())
        .filter(c -> totals.causes().containsKey(c.label()))
        .map(c -> "<span style=\"background:" + c.colour() + "\"></span>" + escape(c.label()))
        .collect(Collectors.joining("", "<p class=\"key\">", "</p>"));
  }

  private static String causes(Counts totals) {
    return totals.causes().entrySet().stream()
        .map(e -> "<tr><td>" + escape(e.getKey()) + "</td><td>" + e.getValue() + "</td></tr>")
        .collect(
            Collectors.joining("", "<table><tr><th>cause</th><th>requests</th></tr>", "</table>"));
  }

  private static String routes(LossReport report) {
    String head =
        Stream.of(Outcome.values())
            .map(o -> "<th>" + escape(o.label()) + "</th>")
            .collect(Collectors.joining("", "<tr><th>route</th>", "<th>causes</th></tr>"));
    return report.routes().stream()
        .map(r -> routeRow(r.route(), r.counts()))
        .collect(Collectors.joining("", "<table>" + head, "</table>"));
  }

  private static String routeRow(String route, Counts counts) {
    return Stream.of(Outcome.values())
        .map(o -> "<td>" + counts.outcomes().get(o.label()) + "</td>")
        .collect(
            Collectors.joining(
                "",
                "<tr><td>" + escape(route) + "</td>",
                "<td>" + escape(counts.causesText()) + "</td></tr>"));
  }

  private static String escape(String text) {
    return HtmlEscapers.htmlEscaper().escape(text);
  }
}
