package org.ternhinge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Every name in {@code config/external-names.txt} still appears in the program. These names are
 * part of messages, stored records, settings, flags, metrics or parsed log lines, so users,
 * workers, operators and other versions depend on their spelling.
 */
class ExternalNamesTest {
  private static final Path NAMES = Path.of("config/external-names.txt");
  private static final Path SOURCES = Path.of("src/main/java");

  /** A string literal, a character literal or a comment. */
  private static final Pattern TOKEN =
      Pattern.compile(
          "\"\"\".*?\"\"\"|\"(?:\\\\.|[^\"\\\\\\n])*\"|'(?:\\\\.|[^'\\\\])+'"
              + "|//[^\\n]*|/\\*.*?\\*/",
          Pattern.DOTALL);

  private static final Pattern ENUM_CONSTANT = Pattern.compile("[A-Z][A-Z_]*");

  @Test
  void everyExternalNameAppearsInAStringOrAsAnEnumConstant() throws IOException {
    String sources = sources();
    String code = TOKEN.matcher(sources).replaceAll(" ");
    String strings =
        TOKEN
            .matcher(sources)
            .results()
            .map(MatchResult::group)
            .filter(token -> token.startsWith("\""))
            .collect(Collectors.joining("\n"));
    List<String> missing =
        names().stream()
            .filter(name -> !contains(isEnumConstant(name) ? code : strings, name))
            .toList();

    assertEquals(List.of(), missing);
  }

  @Test
  void listHasNamesAndNoDuplicates() throws IOException {
    assertFalse(names().isEmpty());
    assertEquals(names().size(), new TreeSet<>(names()).size());
  }

  private static boolean isEnumConstant(String name) {
    return ENUM_CONSTANT.matcher(name).matches() && !name.equals("LOG_LEVEL");
  }

  /** Whether a text contains a name that is not part of a longer word. */
  private static boolean contains(String text, String name) {
    return Pattern.compile("(?<!\\w)" + Pattern.quote(name) + "(?!\\w)").matcher(text).find();
  }

  private static List<String> names() throws IOException {
    return Files.readAllLines(NAMES).stream()
        .map(String::strip)
        .filter(line -> !line.isEmpty() && !line.startsWith("#"))
        .toList();
  }

  private static String sources() throws IOException {
    try (Stream<Path> files = Files.walk(SOURCES)) {
      return files
          .filter(file -> file.toString().endsWith(".java"))
          .map(ExternalNamesTest::read)
          .collect(Collectors.joining("\n"));
    }
  }

  private static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
