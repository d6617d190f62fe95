package org.ternhinge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Logs of tests with real processes are kept where the failure says, and only then. */
class ProcessLogsTest {
  @TempDir Path parent;

  /** Guards against a failure over real processes whose logs are gone when somebody looks. */
  @Test
  void failureNamesTheDirectoryThatIsKept() throws Exception {
    ProcessLogs logs = new ProcessLogs(parent);
    logs.create("SomeIT-method()");
    Path log = Files.writeString(logs.directory().resolve("node-0.log"), "line");
    AssertionError failure = logs.withDirectory(new AssertionError("5 events"));
    assertTrue(failure.getMessage().contains("5 events"), failure.getMessage());
    assertTrue(failure.getMessage().contains(logs.directory().toString()), failure.getMessage());
    assertTrue(Files.exists(log));
  }

  @Test
  void directoryIsDeletedAfterTestThatPassed() throws Exception {
    ProcessLogs logs = new ProcessLogs(parent);
    logs.create("SomeIT-method()");
    Files.writeString(logs.directory().resolve("node-0.log"), "line");
    logs.delete();
    assertFalse(Files.exists(logs.directory()));
    assertTrue(Files.exists(parent));
  }

  @Test
  void eachTestHasItsOwnDirectory() throws Exception {
    ProcessLogs logs = new ProcessLogs(parent);
    logs.create("SomeIT-method()");
    Path first = logs.directory();
    logs.create("SomeIT-method()");
    assertFalse(first.equals(logs.directory()));
    assertEquals(parent, first.getParent());
  }
}
