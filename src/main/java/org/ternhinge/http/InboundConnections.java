package org.ternhinge.http;

import io.netty.channel.Channel;
import java.util.function.IntConsumer;

/**
 * Counts the connections that are open to this process against their {@link SocketBudget}. For use
 * on the event loop alone.
 */
final class InboundConnections {
  private final SocketBudget budget;
  private final IntConsumer listener;
  private int openConnections;
  private int openWorkerConnections;

  /**
   * Creates a counter at zero.
   *
   * @param listener gets the number of open connections after each change
   */
  InboundConnections(SocketBudget budget, IntConsumer listener) {
    this.budget = budget;
    this.listener = listener;
  }

  /** Counts a new connection until it closes; false, and not counted, if there are too many. */
  boolean tryAdd(Channel channel) {
    if (openConnections >= budget.maxInbound()) {
      return false;
    }
    adjust(1);
    Channels.onClose(channel, () -> adjust(-1));
    return true;
  }

  private void adjust(int delta) {
    openConnections += delta;
    listener.accept(openConnections);
  }

  /** Counts a connection, which {@link #tryAdd} has counted, as a worker's until it closes. */
  void addWorker(Channel channel) {
    openWorkerConnections++;
    Channels.onClose(channel, () -> openWorkerConnections--);
  }

  /** Whether more connections of workers are open than their share. */
  boolean exceedsWorkerLimit() {
    return openWorkerConnections > budget.maxPersistentWorkers();
  }
}
