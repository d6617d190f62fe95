package org.ternhinge.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelException;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.net.ConnectException;
import org.junit.jupiter.api.Test;
import org.ternhinge.http.SocketUsage.Owner;

/** The count of open sockets by owner. */
class SocketUsageTest {
  private final SocketUsage usage = new SocketUsage();

  /** Guards against a count that drifts from the sockets that are open. */
  @Test
  void channelCountsUntilItCloses() {
    EmbeddedChannel first = new EmbeddedChannel();
    EmbeddedChannel second = new EmbeddedChannel();
    usage.track(first, Owner.TO_STORE);
    usage.track(second, Owner.PEERS);
    assertEquals(2, usage.total());
    Channels.close(first);
    Channels.close(first);
    assertEquals(0, usage.of(Owner.TO_STORE));
    assertEquals(1, usage.total());
  }

  /** A connection is a worker's once it has sent a heartbeat, and counts once in any case. */
  @Test
  void inboundConnectionCountsForItsOwner() {
    InboundConnections connections = new InboundConnections(SocketBudget.of(64), open -> {}, usage);
    EmbeddedChannel worker = new EmbeddedChannel();
    EmbeddedChannel user = new EmbeddedChannel();
    assertTrue(connections.tryAdd(worker) && connections.tryAdd(user));
    connections.addWorker(worker);
    assertEquals(1, usage.of(Owner.FROM_WORKERS));
    assertEquals(1, usage.of(Owner.FROM_OTHERS));
    Channels.close(worker);
    assertEquals(0, usage.of(Owner.FROM_WORKERS));
    assertEquals(1, usage.of(Owner.FROM_OTHERS));
    Channels.close(user);
    assertEquals(0, usage.total());
  }

  @Test
  void summaryNamesEveryOwner() {
    usage.track(new EmbeddedChannel(), Owner.TO_WORKERS);
    assertEquals(
        "sockets open total=1 from_workers=0 from_others=0 to_workers=1 to_store=0 to_cloud=0"
            + " peers=0",
        usage.summary());
  }

  /** The limit shows when a channel is created, before there is a connection that could fail. */
  @Test
  void onlyTheSocketLimitCountsAsExhaustion() {
    IOException limit = new IOException("Too many open files");
    assertTrue(SocketUsage.isExhaustion(limit));
    assertTrue(SocketUsage.isExhaustion(new ChannelException("Failed to open a socket.", limit)));
    assertEquals(false, SocketUsage.isExhaustion(new ConnectException("Connection refused")));
  }
}
