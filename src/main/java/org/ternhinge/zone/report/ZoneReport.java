package org.ternhinge.zone.report;

import static j2html.TagCreator.body;
import static j2html.TagCreator.document;
import static j2html.TagCreator.each;
import static j2html.TagCreator.h1;
import static j2html.TagCreator.h2;
import static j2html.TagCreator.head;
import static j2html.TagCreator.html;
import static j2html.TagCreator.img;
import static j2html.TagCreator.li;
import static j2html.TagCreator.meta;
import static j2html.TagCreator.p;
import static j2html.TagCreator.style;
import static j2html.TagCreator.table;
import static j2html.TagCreator.tbody;
import static j2html.TagCreator.td;
import static j2html.TagCreator.th;
import static j2html.TagCreator.thead;
import static j2html.TagCreator.title;
import static j2html.TagCreator.tr;
import static j2html.TagCreator.ul;

import j2html.tags.DomContent;
import j2html.tags.specialized.TableTag;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Base64;
import java.util.List;
import java.util.Locale;

/** Writes the report on zones as one self-contained HTML file. */
public final class ZoneReport {
  /** The result of writing a report. */
  public enum Result {
    /** The report was written and includes all events of the log. */
    COMPLETE,
    /** The report was written; some lines could not be parsed. */
    PARTIAL,
    /** The log contains no valid event; no report was written. */
    NO_EVENTS
  }

  private static final String CSS =
      "body{font-family:sans-serif;max-width:60em;margin:2em auto}"
          + "table{border-collapse:collapse}th,td{border:1px solid #ccc;padding:.2em .6em;"
          + "text-align:left}img{max-width:100%}";

  private final ZoneLog log;
  private final ZoneHistory history;

  private ZoneReport(ZoneLog log) {
    this.log = log;
    this.history = new ZoneHistory(log.events());
  }

  /** Writes the report on a log. */
  public static Result write(ZoneLog log, Path out) throws IOException {
    if (log.events().isEmpty()) {
      return Result.NO_EVENTS;
    }
    // The report may be created on a machine without a display.
    System.setProperty("java.awt.headless", "true");
    Files.writeString(out, new ZoneReport(log).page());
    return log.malformed() > 0 ? Result.PARTIAL : Result.COMPLETE;
  }

  private String page() throws IOException {
    ZoneCharts charts = new ZoneCharts(history);
    return document(
        html(
            head(meta().withCharset("utf-8"), title("Zones"), style(CSS).withType("text/css")),
            body(
                h1("Loss and recovery of zones"),
                p(
                    String.format(
                        Locale.ROOT,
                        "%s to %s, %d events in %d lines, %d malformed lines skipped.",
                        Instant.ofEpochMilli(history.fromMillis()),
                        Instant.ofEpochMilli(history.toMillis()),
                        log.events().size(),
                        log.lines(),
                        log.malformed())),
                h2("States"),
                history.zones().isEmpty()
                    ? p("No zone changed its state.")
                    : image(charts.states()),
                intervals(),
                h2("Moves by tier"),
                history.moves().isEmpty() ? p("No tasks were moved.") : image(charts.moves()),
                tiers(),
                h2("Starts in recovering zones"),
                history.starts().isEmpty() ? p("None.") : image(charts.starts()),
                h2("Doubled attempts"),
                duplicateAttempts(),
                h2("Delayed tasks"),
                delays())));
  }

  private static DomContent image(byte[] png) {
    return img().withSrc("data:image/png;base64," + Base64.getEncoder().encodeToString(png));
  }

  private static TableTag dataTable(List<String> names, List<List<String>> rows) {
    return table(
        thead(tr(each(names, name -> th(name)))),
        tbody(each(rows, row -> tr(each(row, cell -> td(cell))))));
  }

  private DomContent intervals() {
    return dataTable(
        List.of("zone", "state", "from", "seconds"),
        history.intervals().stream()
            .map(
                interval ->
                    List.of(
                        interval.zone(),
                        interval.state().label(),
                        Instant.ofEpochMilli(interval.fromMillis()).toString(),
                        seconds((interval.toMillis() - interval.fromMillis()) / 1000.0)))
            .toList());
  }

  private static String seconds(double value) {
    return String.format(Locale.ROOT, "%.1f", value);
  }

  private DomContent tiers() {
    return dataTable(
        List.of("tier", "displaced", "moved", "longest wait, s"),
        history.tiers().entrySet().stream()
            .map(
                tier ->
                    List.of(
                        tier.getKey(),
                        Integer.toString(tier.getValue().displaced()),
                        Integer.toString(tier.getValue().moved()),
                        seconds(tier.getValue().longestWaitS())))
            .toList());
  }

  private DomContent duplicateAttempts() {
    if (history.duplicateAttempts().isEmpty()) {
      return p("None.");
    }
    return ul(
        each(
            history.duplicateAttempts(),
            duplicate -> li(Instant.ofEpochMilli(duplicate.atMillis()) + " " + duplicate.task())));
  }

  private DomContent delays() {
    if (history.delays().isEmpty()) {
      return p("No job waited for more than 30 s.");
    }
    return dataTable(
        List.of("at", "job", "tier", "tasks", "reason", "waited, s"),
        history.delays().stream()
            .map(
                delay ->
                    List.of(
                        Instant.ofEpochMilli(delay.atMillis()).toString(),
                        delay.job(),
                        delay.tier(),
                        delay.tasks(),
                        delay.reason(),
                        seconds(delay.waitedS())))
            .toList());
  }
}
