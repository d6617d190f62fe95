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
import org.ternhinge.zone.ZoneEventParser;

/**
 * The zone events in a controller's log, in chronological order. The logs of several controllers
 * may be concatenated.
 *
 * @param lines number of lines read
 * @param malformed number of lines with an event marker that could not be parsed
 */
public record ZoneLog(List<Entry> events, int lines, int malformed) {
  /** An event with its wall-clock time and the term of the leader that logged it. */
  public record Entry(long atMillis, long term, ZoneEvent event) {}

  /** Reads a log file; invalid bytes are replaced, so they affect only their own line. */
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
    lines.forEach(reader::read);
    reader.events.sort(Comparator.comparingLong(Entry::atMillis).thenComparingLong(Entry::term));
    return new ZoneLog(List.copyOf(reader.events), reader.lines, reader.malformed);
  }

  /** Collects the events line by line. */
  private static final class Reader {
    private final List<Entry> events = new ArrayList<>();
    private int lines;
    private int malformed;

    void read(String line) {
      lines++;
      int markerIndex = line.indexOf(ZoneEvent.MARKER + " ");
      if (markerIndex < 0) {
        return;
      }
      Optional<Entry> entry =
          parseEntry(line.substring(markerIndex + ZoneEvent.MARKER.length() + 1));
      entry.ifPresentOrElse(events::add, () -> malformed++);
    }

    private static Optional<Entry> parseEntry(String text) {
      String[] words = text.strip().split(" +", -1);
      Map<String, String> fields = new HashMap<>();
      for (int i = 1; i < words.length; i++) {
        int equals = words[i].indexOf('=');
        if (equals <= 0) {
          return Optional.empty();
        }
        fields.put(words[i].substring(0, equals), words[i].substring(equals + 1));
      }
      return ZoneEventParser.parse(words[0], fields).flatMap(event -> withTimestamp(event, fields));
    }

    private static Optional<Entry> withTimestamp(ZoneEvent event, Map<String, String> fields) {
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
