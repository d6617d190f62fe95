package org.ternhinge.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.extension.BeforeEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.TestExecutionExceptionHandler;
import org.junit.jupiter.api.extension.TestWatcher;

/**
 * The directory for settings and logs of a test with real processes. It is deleted if the test
 * passes; if it fails, it is kept and the failure names it.
 */
final class ProcessLogs implements BeforeEachCallback, TestExecutionExceptionHandler, TestWatcher {
  private final Path parent;
  private Path directory;

  /** Keeps the logs of failed tests below the build directory. */
  ProcessLogs() {
    this(Path.of("target", "process-logs"));
  }

  /**
   * Keeps the logs of failed tests below a directory.
   *
   * @param parent the directory, which is created if it does not exist
   */
  ProcessLogs(Path parent) {
    this.parent = parent;
  }

  /** The directory of the running test. */
  Path directory() {
    return directory;
  }

  @Override
  public void beforeEach(ExtensionContext context) throws IOException {
    create(context.getRequiredTestClass().getSimpleName() + "-" + context.getDisplayName());
  }

  /** Creates the directory of a test. */
  void create(String test) throws IOException {
    Files.createDirectories(parent);
    directory = Files.createTempDirectory(parent, test.replaceAll("[^A-Za-z0-9-]", "") + "-");
  }

  @Override
  public void handleTestExecutionException(ExtensionContext context, Throwable failure) {
    throw withDirectory(failure);
  }

  /** Returns a failure that also names the directory. */
  AssertionError withDirectory(Throwable failure) {
    return new AssertionError(failure + "; logs are in " + directory.toAbsolutePath(), failure);
  }

  @Override
  public void testSuccessful(ExtensionContext context) {
    delete();
  }

  /** Deletes the directory with all files. */
  void delete() {
    try (Stream<Path> files = Files.walk(directory)) {
      List<Path> deepestFirst = files.sorted(Comparator.reverseOrder()).toList();
      for (Path file : deepestFirst) {
        Files.delete(file);
      }
    } catch (IOException e) {
      throw new IllegalStateException("can't delete " + directory, e);
    }
  }
}
