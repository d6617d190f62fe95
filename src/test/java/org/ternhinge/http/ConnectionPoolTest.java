package org.ternhinge.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.ternhinge.model.Endpoint;

/** Reuse, limits and eviction of idle connections. */
class ConnectionPoolTest {
  private static final Endpoint FIRST = new Endpoint("10.0.0.1", 80);
  private static final Endpoint SECOND = new Endpoint("10.0.0.2", 80);

  private final ConnectionPool pool = new ConnectionPool(100);

  private EmbeddedChannel idle(Endpoint endpoint) {
    EmbeddedChannel channel = new EmbeddedChannel();
    pool.release(endpoint, channel);
    return channel;
  }

  @Test
  void mostRecentlyUsedConnectionIsReusedFirst() {
    EmbeddedChannel older = idle(FIRST);
    EmbeddedChannel newer = idle(FIRST);
    idle(SECOND);
    assertEquals(Optional.of(newer), pool.poll(FIRST));
    assertEquals(Optional.of(older), pool.poll(FIRST));
    assertEquals(Optional.empty(), pool.poll(FIRST));
  }

  @Test
  void closedConnectionIsNotReused() {
    EmbeddedChannel open = idle(FIRST);
    EmbeddedChannel closed = idle(FIRST);
    Channels.close(closed);
    assertEquals(Optional.of(open), pool.poll(FIRST));
  }

  @Test
  void atMostFourIdleConnectionsPerEndpointAreKept() {
    List<EmbeddedChannel> channels = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      channels.add(idle(FIRST));
    }
    assertTrue(channels.get(3).isActive());
    assertFalse(channels.get(4).isActive(), "the fifth connection is closed");
  }

  @Test
  void lowerLimitClosesTheLeastRecentlyUsedConnections() {
    EmbeddedChannel eldest = idle(FIRST);
    EmbeddedChannel middle = idle(SECOND);
    EmbeddedChannel newest = idle(FIRST);
    pool.setMaxIdle(2);
    assertFalse(eldest.isActive());
    assertTrue(middle.isActive());
    assertTrue(newest.isActive());
    idle(SECOND);
    assertFalse(middle.isActive(), "the limit applies to connections that are released later");
    assertEquals(Optional.of(newest), pool.poll(FIRST));
  }

  @Test
  void closeAllClosesOnlyTheConnectionsOfItsEndpoint() {
    EmbeddedChannel closed = idle(FIRST);
    EmbeddedChannel remaining = idle(SECOND);
    pool.closeAll(FIRST);
    assertFalse(closed.isActive());
    assertEquals(Optional.empty(), pool.poll(FIRST));
    assertEquals(Optional.of(remaining), pool.poll(SECOND));
  }
}
