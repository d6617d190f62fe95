package org.ternhinge.http;

import io.netty.channel.Channel;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.EventLine;

/**
 * Counts the open sockets of this process by owner, to show who holds them when the limit is
 * reached. Confined to the event loop.
 */
public final class SocketUsage {
  /** What a socket is used for. */
  public enum Owner {
    /** A connection from a worker. */
    FROM_WORKERS,
    /** A connection from a user or a health probe, or one that has sent no request yet. */
    FROM_OTHERS,
    /** A connection to a worker, idle or not. */
    TO_WORKERS,
    /** A connection to the key-value store, idle or not. */
    TO_STORE,
    /** A connection to the cloud, idle or not. */
    TO_CLOUD,
    /** A connection from or to another controller. */
    PEERS;

    private String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  private static final Logger LOG = LoggerFactory.getLogger(SocketUsage.class);

  /** Part of the message of the exception with which the operating system refuses a socket. */
  private static final String EXHAUSTED = "Too many open files";

  /** Seconds between two log lines about the limit, which hundreds of calls may reach at once. */
  private static final double LOG_INTERVAL_S = 1;

  private static final double NANOS_PER_S = 1e9;

  private final Map<Owner, Integer> open = new EnumMap<>(Owner.class);
  private OptionalLong loggedAtNanos = OptionalLong.empty();

  /** Counts a channel until it closes; a channel that is still connecting counts as well. */
  public void track(Channel channel, Owner owner) {
    add(owner, 1);
    Channels.onClose(channel, () -> add(owner, -1));
  }

  /** Adds to the number of open sockets of an owner. */
  void add(Owner owner, int change) {
    open.merge(owner, change, Integer::sum);
  }

  /** Returns the number of open sockets of an owner. */
  int of(Owner owner) {
    return open.getOrDefault(owner, 0);
  }

  /** Returns the number of open sockets of all owners. */
  int total() {
    return open.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Logs the open sockets if a connection failed because the process has reached its limit. */
  void logIfExhausted(Throwable failure, Endpoint endpoint) {
    if (!isExhaustion(failure)) {
      return;
    }
    long now = System.nanoTime();
    if (loggedAtNanos.isEmpty()
        || now - loggedAtNanos.getAsLong() >= LOG_INTERVAL_S * NANOS_PER_S) {
      loggedAtNanos = OptionalLong.of(now);
      LOG.warn("{} no_socket_for={}", summary(), endpoint);
    }
  }

  /** Whether a connection failed because the process has no socket left. */
  static boolean isExhaustion(Throwable failure) {
    return String.valueOf(failure).contains(EXHAUSTED)
        || String.valueOf(failure.getCause()).contains(EXHAUSTED);
  }

  /** Returns the log line with the number of open sockets of each owner. */
  public String summary() {
    EventLine line = EventLine.of("sockets", "open").with("total", total());
    for (Owner owner : Owner.values()) {
      line.with(owner.label(), of(owner));
    }
    return line.toString();
  }
}
