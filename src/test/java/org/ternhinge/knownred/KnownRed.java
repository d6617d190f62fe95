package org.ternhinge.knownred;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The tests that are known to fail, from {@code KNOWN-RED.txt}. Each line that is neither empty nor
 * a comment has five fields separated by {@code |}: class and method of the test, command, seed,
 * what was seen, and the issue.
 */
final class KnownRed {
  /** At most this many tests may be listed. */
  static final int MAX_ENTRIES = 3;

  private static final Path FILE = Path.of("KNOWN-RED.txt");
  private static final int FIELDS = 5;

  /**
   * A listed test.
   *
   * @param test class and method, separated by {@code #}
   */
  record Entry(String test, String command, String seed, String seen, String issue) {
    boolean names(Class<?> testClass, String method) {
      return test.equals(testClass.getName() + "#" + method);
    }
  }

  private KnownRed() {}

  /** Reads the listed tests; none if the file does not exist. */
  static List<Entry> load() throws IOException {
    return Files.exists(FILE) ? parse(Files.readAllLines(FILE, StandardCharsets.UTF_8)) : List.of();
  }

  /**
   * Parses the lines of the file.
   *
   * @throws IllegalArgumentException if a line has other fields or too many tests are listed
   */
  static List<Entry> parse(List<String> lines) {
    List<Entry> entries = new ArrayList<>();
    for (String line : lines) {
      if (!line.isBlank() && !line.startsWith("#")) {
        entries.add(parseEntry(line));
      }
    }
    if (entries.size() > MAX_ENTRIES) {
      throw new IllegalArgumentException(
          entries.size() + " tests are listed, more than " + MAX_ENTRIES);
    }
    return entries;
  }

  private static Entry parseEntry(String line) {
    String[] fields = line.split("\\|", -1);
    if (fields.length != FIELDS) {
      throw new IllegalArgumentException(FIELDS + " fields are needed: " + line);
    }
    for (int i = 0; i < FIELDS; i++) {
      fields[i] = fields[i].strip();
      if (fields[i].isEmpty()) {
        throw new IllegalArgumentException("empty field: " + line);
      }
    }
    return new Entry(fields[0], fields[1], fields[2], fields[3], fields[4]);
  }

  /**
   * Checks that an entry names an existing method.
   *
   * @return what is wrong, or empty
   */
  static Optional<String> findMistake(Entry entry) {
    String[] parts = entry.test().split("#", -1);
    if (parts.length != 2) {
      return Optional.of(entry.test() + " is not of the form class#method");
    }
    try {
      for (var method : Class.forName(parts[0]).getDeclaredMethods()) {
        if (method.getName().equals(parts[1])) {
          return Optional.empty();
        }
      }
    } catch (ClassNotFoundException e) {
      return Optional.of(entry.test() + " names no class");
    }
    return Optional.of(entry.test() + " names no method");
  }
}
