package org.ternhinge.cli;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;

/**
 * A claim on a block of ports, which other test processes on this machine can't make as long as it
 * lasts. The operating system ends it with the process.
 *
 * @param index number of the block
 * @param lock the lock that holds the claim
 */
record PortBlock(int index, FileLock lock) implements AutoCloseable {

  /**
   * Claims a block; empty if this or another process holds it.
   *
   * @param directory directory of the lock files
   */
  static Optional<PortBlock> claim(Path directory, int index) throws IOException {
    Path file = directory.resolve("ternhinge-test-ports-" + index + ".lock");
    FileChannel channel =
        FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    Optional<FileLock> lock = tryLock(channel);
    if (lock.isEmpty()) {
      channel.close();
    }
    return lock.map(held -> new PortBlock(index, held));
  }

  private static Optional<FileLock> tryLock(FileChannel channel) throws IOException {
    try {
      return Optional.ofNullable(channel.tryLock());
    } catch (OverlappingFileLockException e) {
      // This process holds the lock already.
      return Optional.empty();
    }
  }

  @Override
  public void close() throws IOException {
    lock.acquiredBy().close();
  }
}
