package org.ternhinge.zone.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.ternhinge.zone.ZoneEvent;
import org.ternhinge.zone.ZoneState;

/** Reports on complete logs, malformed logs, and logs with a duplicate attempt. */
class ZoneReportTest {
  private static final String PREFIX = "[main] INFO ZoneCoordinator - ";

  @TempDir Path dir;

  private static String line(ZoneEvent event, long second) {
    return PREFIX + event.line() + " term=3 at=" + (1_700_000_000_000L + second * 1000);
  }

  private static ZoneEvent state(ZoneState from, ZoneState to) {
    return new ZoneEvent.StateChanged("west", from, to, 18, 20, 1.25, true);
  }

  private static ZoneEvent work(ZoneEvent.WorkStep step, String tasks) {
    return new ZoneEvent.WorkChanged(step, "wk-1", tasks, "2", "warnings", "west", 7.5, "turn");
  }

  private static List<String> lossAndRecovery() {
    return List.of(
        line(state(ZoneState.AVAILABLE, ZoneState.SUSPECT), 0),
        line(state(ZoneState.SUSPECT, ZoneState.UNAVAILABLE), 4),
        line(work(ZoneEvent.WorkStep.DISPLACED, "0-3"), 20),
        line(work(ZoneEvent.WorkStep.RELEASED, "0-3"), 20),
        line(work(ZoneEvent.WorkStep.MOVED, "0-2"), 24),
        line(work(ZoneEvent.WorkStep.DELAYED, "3"), 50),
        line(state(ZoneState.UNAVAILABLE, ZoneState.RECOVERING), 60),
        line(new ZoneEvent.RecoveryStarts("west", 1, 4), 66),
        line(state(ZoneState.RECOVERING, ZoneState.AVAILABLE), 80));
  }

  @Test
  void everyEventIsParsedAsWritten() {
    List<ZoneEvent> events =
        List.of(
            state(ZoneState.RECOVERING, ZoneState.AVAILABLE),
            work(ZoneEvent.WorkStep.DELAYED, "1,4-9"),
            new ZoneEvent.RecoveryStarts("west", 2, 17));
    ZoneLog log = ZoneLog.read(events.stream().map(event -> line(event, 1)));
    assertEquals(events, log.events().stream().map(ZoneLog.Entry::event).toList());
    assertEquals(0, log.malformed());
  }

  /** Logs of earlier versions have other names for two of the steps. */
  @Test
  void legacyStepNamesAreParsed() {
    Stream<String> earlier =
        lossAndRecovery().stream()
            .map(text -> text.replace(" displaced ", " owed ").replace(" delayed ", " waits "));
    ZoneLog log = ZoneLog.read(earlier);
    assertEquals(ZoneLog.read(lossAndRecovery().stream()).events(), log.events());
    assertEquals(0, log.malformed());
  }

  @Test
  void statesMovesAndStartsAreCollected() {
    ZoneHistory history = new ZoneHistory(ZoneLog.read(lossAndRecovery().stream()).events());
    assertEquals(
        List.of(ZoneState.SUSPECT, ZoneState.UNAVAILABLE, ZoneState.RECOVERING),
        history.intervals().stream().map(ZoneHistory.Interval::state).toList());
    assertEquals(4, history.tiers().get("warnings").displaced());
    assertEquals(3, history.tiers().get("warnings").moved());
    assertEquals(List.of(), history.duplicateAttempts());
  }

  /** Events from the logs of two controllers are sorted by time. */
  @Test
  void logsOfSeveralControllersAreMerged() {
    List<String> lines = lossAndRecovery();
    Stream<String> reordered = Stream.concat(lines.subList(5, 9).stream(), lines.stream().limit(5));
    ZoneHistory history = new ZoneHistory(ZoneLog.read(reordered).events());
    assertEquals(3, history.intervals().size());
    assertEquals(List.of(), history.duplicateAttempts());
  }

  @Test
  void duplicateAttemptIsFound() {
    Stream<String> lines =
        Stream.concat(
            lossAndRecovery().stream(), Stream.of(line(work(ZoneEvent.WorkStep.MOVED, "2"), 90)));
    ZoneHistory history = new ZoneHistory(ZoneLog.read(lines).events());
    assertEquals(
        List.of("wk-1/2"),
        history.duplicateAttempts().stream().map(duplicate -> duplicate.task()).toList());
  }

  @Test
  void reportIsOneFileWithEmbeddedPlots() throws IOException {
    Path log = dir.resolve("log");
    Path out = dir.resolve("out.html");
    Files.write(log, lossAndRecovery());
    assertEquals(ZoneReport.Result.COMPLETE, ZoneReport.write(ZoneLog.read(log), out));
    String page = Files.readString(out);
    assertEquals(3, page.split("data:image/png;base64,", -1).length - 1, "three plots");
    assertTrue(page.contains("<td>warnings</td><td>4</td><td>3</td>"), "totals by tier");
    assertFalse(page.contains("src=\"http"), "the report refers to no other file");
  }

  @Test
  void malformedLinesAreCountedAndOthersReported() throws IOException {
    Path log = dir.resolve("log");
    String cut = lossAndRecovery().get(3).substring(0, 70);
    Files.writeString(
        log,
        String.join("\n", lossAndRecovery())
            + "\nsome other line\n"
            + cut
            + "\n"
            + PREFIX
            + "zone-event state zone=west from=lost to=found\n"
            + PREFIX
            + "zone-event moved job=wk-1 tasks=9-1 attempts=- tier=a zone=w waited_s=1 reason=x"
            + " term=1 at=1\n");
    byte[] bytes = Files.readAllBytes(log);
    bytes[bytes.length - 2] = (byte) 0xff;
    Files.write(log, bytes);
    ZoneLog read = ZoneLog.read(log);
    assertEquals(9, read.events().size());
    assertEquals(3, read.malformed());
    Path out = dir.resolve("out.html");
    assertEquals(ZoneReport.Result.PARTIAL, ZoneReport.write(read, out));
    assertTrue(Files.readString(out).contains("3 malformed lines skipped"));
  }

  @Test
  void logWithoutEventsGivesNoReport() throws IOException {
    Path log = dir.resolve("log");
    Files.write(log, "nothing here\nzone-event\n".getBytes(StandardCharsets.UTF_8));
    Path out = dir.resolve("out.html");
    assertEquals(ZoneReport.Result.NO_EVENTS, ZoneReport.write(ZoneLog.read(log), out));
    assertFalse(Files.exists(out));
  }
}
