package org.ternhinge.knownred;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.opentest4j.TestAbortedException;

/** The list of known failures, and that it changes the result of no other test. */
class KnownRedTest {
  private static final String LINE =
      KnownRedTest.class.getName() + "#listedTest | mvn verify | 7 | not answered | 39";

  private final AssertionError failure = new AssertionError("seen");
  private final ByteArrayOutputStream printed = new ByteArrayOutputStream();
  private final KnownRedExtension extension =
      new KnownRedExtension(
          KnownRed.parse(List.of("# a comment", "", LINE)),
          new PrintStream(printed, true, StandardCharsets.UTF_8));

  private String printed() {
    return printed.toString(StandardCharsets.UTF_8);
  }

  @Test
  void fileOfThisRepositoryNamesExistingTests() throws IOException {
    for (KnownRed.Entry entry : KnownRed.load()) {
      assertEquals(Optional.empty(), KnownRed.findMistake(entry));
    }
  }

  @Test
  void listedFailureIsAbortedAndPrinted() {
    Throwable reported = extension.replaceFailure(KnownRedTest.class, "listedTest", failure);
    assertSame(failure, assertInstanceOf(TestAbortedException.class, reported).getCause());
    assertTrue(printed().startsWith("KNOWN-RED failed: "), printed());
    assertTrue(printed().contains("seed=7"), printed());
  }

  @Test
  void otherFailuresStayAsTheyAre() {
    assertSame(failure, extension.replaceFailure(KnownRedTest.class, "otherTest", failure));
    assertSame(failure, extension.replaceFailure(KnownRed.class, "listedTest", failure));
    assertEquals("", printed());
  }

  @Test
  void passOfAListedTestIsPrinted() {
    extension.reportPass(KnownRedTest.class, "listedTest", false);
    extension.reportPass(KnownRedTest.class, "otherTest", true);
    assertEquals("", printed());
    extension.reportPass(KnownRedTest.class, "listedTest", true);
    assertTrue(printed().startsWith("KNOWN-RED PASSED"), printed());
  }

  @Test
  void moreThanThreeEntriesAreRejected() {
    assertEquals(3, KnownRed.parse(Collections.nCopies(3, LINE)).size());
    assertThrows(
        IllegalArgumentException.class, () -> KnownRed.parse(Collections.nCopies(4, LINE)));
  }

  @ParameterizedTest
  @ValueSource(strings = {"a#b", "a#b | c | d | e", "a#b | c |  | e | f", "a#b|c|d|e|f|g"})
  void malformedEntryIsRejected(String line) {
    assertThrows(IllegalArgumentException.class, () -> KnownRed.parse(List.of(line)));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"org.ternhinge.Missing#a", "org.ternhinge.knownred.KnownRedTest#a", "noMethod"})
  void entryThatNamesNoTestIsFound(String test) {
    KnownRed.Entry entry = new KnownRed.Entry(test, "c", "d", "e", "f");
    assertTrue(KnownRed.findMistake(entry).isPresent());
  }
}
