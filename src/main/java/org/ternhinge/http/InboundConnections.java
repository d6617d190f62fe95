package org.ternhinge.http;

import io.netty.channel.Channel;
import java.util.function.IntConsumer;
import org.ternhinge.http.SocketUsage.Owner;

/**
 * Tracks the open inbound connections of this process against the {@link SocketBudget}. Confined to
 * the event loop.
 */
final class InboundConnections {
  private final SocketBudget budget;
  private final IntConsumer listener;
  private final SocketUsage usage;
  private int openConnections;
  private int openWorkerConnections;

  /**
   * Creates a tracker without connections.
   *
   * @param listener receives the number of open connections after each change
   * @param usage counts the connections by owner
   */
  InboundConnections(SocketBudget budget, IntConsumer listener, SocketUsage usage) {
    this.budget = budget;
    this.listener = listener;
    this.usage = usage;
  }

  /** Tracks a new connection until it closes; returns false, without tracking it, at the limit. */
  boolean tryAdd(Channel channel) {
    if (openConnections >= budget.maxInbound()) {
      return false;
    }
    adjust(1);
    usage.track(channel, Owner.FROM_OTHERS);
    Channels.onClose(channel, () -> adjust(-1));
    return true;
  }

  private void adjust(int delta) {
    openConnections += delta;
    listener.accept(openConnections);
  }

  /** Marks a connection added by {@link #tryAdd} as a worker's until it closes. */
  void addWorker(Channel channel) {
    adjustWorkers(1);
    Channels.onClose(channel, () -> adjustWorkers(-1));
  }

  private void adjustWorkers(int delta) {
    openWorkerConnections += delta;
    usage.add(Owner.FROM_WORKERS, delta);
    usage.add(Owner.FROM_OTHERS, -delta);
  }

  /** Whether workers have more open connections than the budget allows to persist. */
  boolean exceedsWorkerLimit() {
    return openWorkerConnections > budget.maxPersistentWorkers();
  }
}
