package org.ternhinge.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.Optional;

/**
 * Ports on loopback for processes that listen on the same port again after a restart. They lie
 * below the range from which the system takes ports for outgoing connections. Each test process has
 * a block of ports of its own, since a port that is free now may be chosen by two of them before
 * either listens on it.
 */
final class FreePorts {
  private static final int FIRST = 15_000;
  private static final int LAST = 32_000;
  private static final int BLOCK_PORTS = 200;
  private static final int BLOCKS = (LAST - FIRST) / BLOCK_PORTS;
  private static final Path LOCKS = Path.of(System.getProperty("java.io.tmpdir"));

  /** The ports of this process; empty until the first one is requested. */
  private static Optional<PortBlock> block = Optional.empty();

  private static int offset;

  private FreePorts() {}

  /** Returns a port that is free now and was not returned lately. */
  static synchronized int next() throws IOException {
    if (block.isEmpty()) {
      block = Optional.of(claimBlock());
    }
    for (int tried = 0; tried < BLOCK_PORTS; tried++) {
      int port = FIRST + block.get().index() * BLOCK_PORTS + offset;
      offset = (offset + 1) % BLOCK_PORTS;
      if (isFree(port)) {
        return port;
      }
    }
    throw new IOException("no free port");
  }

  private static PortBlock claimBlock() throws IOException {
    int first = (int) (ProcessHandle.current().pid() % BLOCKS);
    for (int i = 0; i < BLOCKS; i++) {
      Optional<PortBlock> claimed = PortBlock.claim(LOCKS, (first + i) % BLOCKS);
      if (claimed.isPresent()) {
        return claimed.get();
      }
    }
    throw new IOException("all blocks of ports are in use");
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
