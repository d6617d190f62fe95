package org.ternhinge.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Ports on loopback for processes that listen on the same port again after a restart. They lie
 * below the range from which the system takes ports for outgoing connections.
 */
final class FreePorts {
  private static final int FIRST = 15_000;
  private static final int LAST = 32_000;

  /** Ports by which concurrent test processes start apart from each other. */
  private static final int STEP = 200;

  private static int next = FIRST + (int) (ProcessHandle.current().pid() * STEP % (LAST - FIRST));

  private FreePorts() {}

  /** Returns a port that is free now and was not returned before. */
  static synchronized int next() throws IOException {
    for (int tried = 0; tried < LAST - FIRST; tried++) {
      int port = next;
      next = next + 1 < LAST ? next + 1 : FIRST;
      if (isFree(port)) {
        return port;
      }
    }
    throw new IOException("no free port");
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
