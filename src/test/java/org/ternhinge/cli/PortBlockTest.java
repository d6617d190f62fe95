package org.ternhinge.cli;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Claims on blocks of ports. */
class PortBlockTest {
  @TempDir Path directory;

  /** Guards against two test processes whose controllers listen on the same ports. */
  @Test
  void blockIsClaimedOnceUntilItIsReleased() throws Exception {
    Optional<PortBlock> first = PortBlock.claim(directory, 1);
    assertTrue(first.isPresent());
    assertTrue(PortBlock.claim(directory, 1).isEmpty());
    try (PortBlock other = PortBlock.claim(directory, 2).orElseThrow()) {
      assertTrue(other.lock().isValid());
    }
    first.get().close();
    try (PortBlock again = PortBlock.claim(directory, 1).orElseThrow()) {
      assertTrue(again.lock().isValid());
    }
  }
}
