package org.ternhinge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A short soak run, and the command's reaction to bad options. */
class SoakIT {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(String... args) throws InterruptedException {
    return SoakCommand.run(
        args,
        new PrintStream(out, true, StandardCharsets.UTF_8),
        new PrintStream(err, true, StandardCharsets.UTF_8));
  }

  @Test
  void randomFaultsBreakNoRule() throws InterruptedException {
    Path logs = Path.of("target", "soak-ci");
    int status =
        run("--seeds", "2", "--first-seed", "1", "--parallel", "2", "--out", logs.toString());
    assertEquals(0, status, () -> out.toString(StandardCharsets.UTF_8));
  }

  @ParameterizedTest(name = "{0} {1}")
  @CsvSource({
    "--seed, 1, unknown option: --seed",
    "--seeds, 0, --seeds: not from 1",
    "--seeds, many, --seeds: not a number: many",
    "--first-seed, -1, --first-seed: not from 0",
    "--workers, 100000, --workers: not from 1",
    "--parallel, x, --parallel: not a number: x",
  })
  void badOptionEndsWithOneLineThatNamesIt(String name, String value, String message)
      throws InterruptedException {
    assertEquals(2, run(name, value));
    String line = err.toString(StandardCharsets.UTF_8);
    assertTrue(line.startsWith(message), line);
    assertEquals(1, line.lines().count());
  }
}
