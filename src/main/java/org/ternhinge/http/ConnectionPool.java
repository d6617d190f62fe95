package org.ternhinge.http;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.ternhinge.model.Endpoint;

/**
 * Pool of idle connections for reuse by later requests to the same endpoint. Above its limit, the
 * pool closes the least recently used connections. Confined to the event loop.
 */
final class ConnectionPool {
  private static final int MAX_IDLE_PER_ENDPOINT = 4;

  private final Map<Endpoint, Deque<Channel>> idleByEndpoint = new HashMap<>();

  /** All idle connections in LRU order, the least recently used one first. */
  private final Map<Channel, Endpoint> leastRecentlyUsed = new LinkedHashMap<>();

  private int maxIdle;

  ConnectionPool(int maxIdle) {
    this.maxIdle = maxIdle;
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
    if (idle.size() >= MAX_IDLE_PER_ENDPOINT) {
      Channels.close(channel);
      return;
    }
    idle.addLast(channel);
    leastRecentlyUsed.put(channel, endpoint);
    closeExcess();
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
