package org.ternhinge.knownred;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.extension.AfterTestExecutionCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.TestExecutionExceptionHandler;
import org.opentest4j.TestAbortedException;

/**
 * Runs each listed test as any other; if it fails, its failure is printed and reported as aborted,
 * and if it passes, that is printed. All other tests are unaffected. Registered for all tests by
 * the service loader.
 */
public final class KnownRedExtension
    implements TestExecutionExceptionHandler, AfterTestExecutionCallback {
  private final List<KnownRed.Entry> entries;
  private final PrintStream out;

  /** Creates the extension for the tests that are listed in the file. */
  public KnownRedExtension() throws IOException {
    this(KnownRed.load(), System.out);
  }

  KnownRedExtension(List<KnownRed.Entry> entries, PrintStream out) {
    this.entries = List.copyOf(entries);
    this.out = out;
  }

  private Optional<KnownRed.Entry> find(Class<?> testClass, String method) {
    return entries.stream().filter(entry -> entry.names(testClass, method)).findFirst();
  }

  @Override
  public void handleTestExecutionException(ExtensionContext context, Throwable failure)
      throws Throwable {
    throw replaceFailure(
        context.getRequiredTestClass(), context.getRequiredTestMethod().getName(), failure);
  }

  /** Returns the failure of a test, or what is reported in its place if the test is listed. */
  Throwable replaceFailure(Class<?> testClass, String method, Throwable failure) {
    Optional<KnownRed.Entry> listed = find(testClass, method);
    if (listed.isEmpty()) {
      return failure;
    }
    out.println("KNOWN-RED failed: " + listed.get() + ": " + failure);
    return new TestAbortedException("known to fail, " + listed.get().issue(), failure);
  }

  @Override
  public void afterTestExecution(ExtensionContext context) {
    reportPass(
        context.getRequiredTestClass(),
        context.getRequiredTestMethod().getName(),
        context.getExecutionException().isEmpty());
  }

  /** Prints that a listed test passed. */
  void reportPass(Class<?> testClass, String method, boolean passed) {
    if (passed) {
      find(testClass, method)
          .ifPresent(entry -> out.println("KNOWN-RED PASSED, remove its entry: " + entry));
    }
  }
}
