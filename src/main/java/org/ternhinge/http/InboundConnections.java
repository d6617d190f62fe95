package org.ternhinge.http;

import io.netty.channel.Channel;
import java.util.function.IntConsumer;

/**
 * Counts the connections that are open to this process against their {@link SocketBudget}. For use
 * on the event loop alone.
 */
final class InboundConnections {
  private final SocketBudget shares;
  private final IntConsumer listener;
  private int open;
  private int openToWorkers;

  /**
   * Creates a counter at zero.
   *
   * @param listener gets the number of open connections after each change
   */
  InboundConnections(SocketBudget shares, IntConsumer listener) {
    this.shares = shares;
    this.listener = listener;
  }

  /** Counts a new connection until it closes; false, and not counted, if there are too many. */
  boolean tryAdd(Channel channel) {
    if (open >= shares.maxInbound()) {
      return false;
    }
    change(1);
    Channels.onClose(channel, () -> change(-1));
    return true;
  }

  private void change(int difference) {
    open += difference;
    listener.accept(open);
  }

  /** Counts a connection, which {@link #tryAdd} has counted, as a worker's until it closes. */
  void addWorker(Channel channel) {
    openToWorkers++;
    Channels.onClose(channel, () -> openToWorkers--);
  }

  /** Whether more connections of workers are open than their share. */
  boolean exceedsWorkerLimit() {
    return openToWorkers > shares.maxPersistentWorkers();
  }
}
