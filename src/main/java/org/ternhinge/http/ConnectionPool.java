package org.ternhinge.http;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.ternhinge.model.Endpoint;

/**
 * Pool of idle connections for reuse by later requests to the same endpoint. Above its limit, the
 * pool closes the least recently used connections. Reserved endpoints are exempt: their connections
 * are kept however many others there are, up to a limit for each endpoint. Confined to the event
 * loop.
 */
final class ConnectionPool {
  private static final int MAX_IDLE_PER_ENDPOINT = 4;

  private final Map<Endpoint, Deque<Channel>> idleByEndpoint = new HashMap<>();

  /** All idle connections in LRU order, the least recently used one first. */
  private final Map<Channel, Endpoint> leastRecentlyUsed = new LinkedHashMap<>();

  private final Predicate<Endpoint> isReserved;
  private final int maxIdleOfReserved;
  private int maxIdle;

  /** Creates an empty pool without reserved endpoints. */
  ConnectionPool(int maxIdle) {
    this(maxIdle, endpoint -> false, MAX_IDLE_PER_ENDPOINT);
  }

  /**
   * Creates an empty pool.
   *
   * @param maxIdle limit of all idle connections to endpoints that are not reserved
   * @param maxIdleOfReserved limit of the idle connections to each reserved endpoint
   */
  ConnectionPool(int maxIdle, Predicate<Endpoint> isReserved, int maxIdleOfReserved) {
    this.maxIdle = maxIdle;
    this.isReserved = isReserved;
    this.maxIdleOfReserved = maxIdleOfReserved;
  }

  /** Changes the limit and closes the connections above it. */
  void setMaxIdle(int newMaxIdle) {
    maxIdle = newMaxIdle;
    closeExcess();
  }

  /** Removes and returns the most recently used open connection to an endpoint; empty if none. */
  Optional<Channel> poll(Endpoint endpoint) {
    Deque<Channel> idle = idleByEndpoint.get(endpoint);
    while (idle != null && !idle.isEmpty()) {
      Channel channel = idle.pollLast();
      leastRecentlyUsed.remove(channel);
      if (channel.isActive()) {
        return Optional.of(channel);
      }
    }
    return Optional.empty();
  }

  /** Adds an idle connection. */
  void release(Endpoint endpoint, Channel channel) {
    Deque<Channel> idle = idleByEndpoint.computeIfAbsent(endpoint, key -> new ArrayDeque<>());
    boolean reserved = isReserved.test(endpoint);
    if (idle.size() >= (reserved ? maxIdleOfReserved : MAX_IDLE_PER_ENDPOINT)) {
      Channels.close(channel);
      return;
    }
    idle.addLast(channel);
    if (!reserved) {
      leastRecentlyUsed.put(channel, endpoint);
      closeExcess();
    }
  }

  /** Closes all idle connections to an endpoint. */
  void closeAll(Endpoint endpoint) {
    Deque<Channel> idle = idleByEndpoint.remove(endpoint);
    if (idle != null) {
      idle.forEach(leastRecentlyUsed::remove);
      idle.forEach(Channels::close);
    }
  }

  private void closeExcess() {
    while (leastRecentlyUsed.size() > maxIdle) {
      Iterator<Map.Entry<Channel, Endpoint>> eldest = leastRecentlyUsed.entrySet().iterator();
      Map.Entry<Channel, Endpoint> entry = eldest.next();
      Channel channel = entry.getKey();
      remove(entry.getValue(), channel);
      eldest.remove();
      Channels.close(channel);
    }
  }

  private void remove(Endpoint endpoint, Channel channel) {
    Deque<Channel> idle = idleByEndpoint.get(endpoint);
    idle.remove(channel);
    if (idle.isEmpty()) {
      idleByEndpoint.remove(endpoint);
    }
  }
}
