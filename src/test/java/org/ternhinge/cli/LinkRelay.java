package org.ternhinge.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Collections;
import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * TCP relay on loopback that can simulate a network partition, in one direction or both, a slow
 * link, and broken connections. Bytes that are sent during a partition are delayed and delivered
 * once it heals, as TCP retransmission does on a real network.
 */
final class LinkRelay implements AutoCloseable {
  /** Direction of bytes, seen from the side that opens connections. */
  enum Direction {
    REQUESTS,
    RESPONSES
  }

  private static final int BUFFER_BYTES = 8192;

  private final ExecutorService threads = Executors.newCachedThreadPool(LinkRelay::daemonThread);
  private final Set<AutoCloseable> openResources = ConcurrentHashMap.newKeySet();
  private final Object lock = new Object();
  private final Set<Direction> partitioned = EnumSet.noneOf(Direction.class);
  private volatile long delayMillis;
  private volatile boolean closed;

  private static Thread daemonThread(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    return thread;
  }

  /** Opens a port whose connections are forwarded to another port; returns the opened one. */
  int forwardTo(int port) throws IOException {
    ServerSocket server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    openResources.add(server);
    threads.execute(() -> accept(server, port));
    return server.getLocalPort();
  }

  /** Stops forwarding until {@link #heal}. */
  void partition() {
    partition(EnumSet.allOf(Direction.class));
  }

  /** Stops forwarding in some directions until {@link #heal}. */
  void partition(Set<Direction> directions) {
    synchronized (lock) {
      partitioned.addAll(directions);
    }
  }

  /** Delays all bytes in each direction by this time from now on. */
  void delay(double seconds) {
    delayMillis = (long) (seconds * 1000);
  }

  /** Breaks all open connections; the messages under way are lost. */
  void reset() {
    openResources.stream().filter(Socket.class::isInstance).forEach(this::close);
  }

  /** Ends the partition: delivers delayed bytes and resumes forwarding. */
  void heal() {
    synchronized (lock) {
      partitioned.clear();
      lock.notifyAll();
    }
  }

  private void awaitHealed(Set<Direction> directions) throws IOException {
    synchronized (lock) {
      while (!Collections.disjoint(partitioned, directions) && !closed) {
        try {
          lock.wait();
        } catch (InterruptedException e) {
          throw new IOException(e);
        }
      }
    }
  }

  private void accept(ServerSocket server, int port) {
    try {
      while (!closed) {
        Socket from = server.accept();
        openResources.add(from);
        threads.execute(() -> connect(from, port));
      }
    } catch (IOException e) {
      // The relay was closed.
      close(server);
    }
  }

  private void connect(Socket from, int port) {
    try {
      awaitHealed(EnumSet.allOf(Direction.class));
      Socket to = new Socket(InetAddress.getLoopbackAddress(), port);
      openResources.add(to);
      threads.execute(() -> copy(from, to, EnumSet.of(Direction.REQUESTS)));
      copy(to, from, EnumSet.of(Direction.RESPONSES));
    } catch (IOException e) {
      close(from);
    }
  }

  /** Copies bytes in one direction until either side is closed. */
  private void copy(Socket from, Socket to, Set<Direction> direction) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        sleep(delayMillis);
        awaitHealed(direction);
        out.write(buffer, 0, read);
        out.flush();
      }
    } catch (IOException e) {
      // Either side has closed its socket; both are closed below.
    } finally {
      close(from);
      close(to);
    }
  }

  private static void sleep(long millis) throws IOException {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  private void close(AutoCloseable resource) {
    openResources.remove(resource);
    try {
      resource.close();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void close() {
    closed = true;
    heal();
    Set.copyOf(openResources).forEach(this::close);
    threads.shutdownNow();
  }
}
