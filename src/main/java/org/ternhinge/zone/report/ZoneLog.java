package org.ternhinge.zone.report;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.ternhinge.zone.ZoneEvent;

/**
 * The events of zones in a service's log, in the order of their times. The logs of several
 * controllers may stand one after the other.
 *
 * @param lines how many lines were read
 * @param leftOut lines that have an event's mark and could not be read as one
 */
public record ZoneLog(List<Entry> events, int lines, int leftOut) {
  /** An event, with the time of day and the term of the leader that logged it. */
  public record Entry(long atMillis, long term, ZoneEvent event) {}

  /** Reads a log file; bytes that are no text are replaced and cost their line at most. */
  public static ZoneLog read(Path file) throws IOException {
    CharsetDecoder decoder =
        StandardCharsets.UTF_8
            .newDecoder()
            .onMalformedInput(CodingErrorAction.REPLACE)
            .onUnmappableCharacter(CodingErrorAction.REPLACE);
    try (InputStream bytes = Files.newInputStream(file);
        BufferedReader reader = new BufferedReader(new InputStreamReader(bytes, decoder))) {
      return read(reader.lines());
    } catch (UncheckedIOException e) {
      throw e.getCause();
    }
  }

  /** Reads the lines of a log. */
  static ZoneLog read(Stream<String> lines) {
    Reader reader = new Reader();
    lines.forEach(reader::take);
    reader.events.sort(Comparator.comparingLong(Entry::atMillis).thenComparingLong(Entry::term));
    return new ZoneLog(List.copyOf(reader.events), reader.lines, reader.leftOut);
  }

  /** Takes one line after the other. */
  private static final class Reader {
    private final List<Entry> events = new ArrayList<>();
    private int lines;
    private int leftOut;

    void take(String line) {
      lines++;
      int mark = line.indexOf(ZoneEvent.MARK + " ");
      if (mark < 0) {
        return;
      }
      Optional<Entry> entry = entry(line.substring(mark + ZoneEvent.MARK.length() + 1));
      entry.ifPresentOrElse(events::add, () -> leftOut++);
    }

    private static Optional<Entry> entry(String text) {
      String[] words = text.strip().split(" +", -1);
      Map<String, String> fields = new HashMap<>();
      for (int i = 1; i < words.length; i++) {
        int equals = words[i].indexOf('=');
        if (equals <= 0) {
          return Optional.empty();
        }
        fields.put(words[i].substring(0, equals), words[i].substring(equals + 1));
      }
      return ZoneEvent.read(words[0], fields).flatMap(event -> timed(event, fields));
    }

    private static Optional<Entry> timed(ZoneEvent event, Map<String, String> fields) {
      try {
        long atMillis = Long.parseLong(fields.getOrDefault("at", ""));
        long term = Long.parseLong(fields.getOrDefault("term", ""));
        return Optional.of(new Entry(atMillis, term, event));
      } catch (NumberFormatException e) {
        return Optional.empty();
      }
    }
  }
}
