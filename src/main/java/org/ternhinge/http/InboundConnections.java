package org.ternhinge.http;

import io.netty.channel.Channel;
import java.util.function.IntConsumer;

/**
 * Tracks the open inbound connections of this process against the {@link SocketBudget}. Confined to
 * the event loop.
 */
final class InboundConnections {
  private final SocketBudget budget;
  private final IntConsumer listener;
  private int openConnections;
  private int openWorkerConnections;

  /**
   * Creates a tracker without connections.
   *
   * @param listener receives the number of open connections after each change
   */
  InboundConnections(SocketBudget budget, IntConsumer listener) {
    this.budget = budget;
    this.listener = listener;
  }

  /** Tracks a new connection until it closes; returns false, without tracking it, at the limit. */
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

  /** Marks a connection added by {@link #tryAdd} as a worker's until it closes. */
  void addWorker(Channel channel) {
    openWorkerConnections++;
    Channels.onClose(channel, () -> openWorkerConnections--);
  }

  /** Whether workers have more open connections than the budget allows to persist. */
  boolean exceedsWorkerLimit() {
    return openWorkerConnections > budget.maxPersistentWorkers();
  }
}
