package org.ternhinge.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * TCP relay on loopback that can simulate a network partition. Bytes that are sent during the
 * partition are delayed and delivered once it heals, as TCP retransmission does on a real network.
 */
final class LinkRelay implements AutoCloseable {
  private static final int BUFFER_BYTES = 8192;

  private final ExecutorService threads = Executors.newCachedThreadPool(LinkRelay::daemonThread);
  private final Set<AutoCloseable> openResources = ConcurrentHashMap.newKeySet();
  private final Object lock = new Object();
  private boolean partitioned;
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
    synchronized (lock) {
      partitioned = true;
    }
  }

  /** Ends the partition: delivers delayed bytes and resumes forwarding. */
  void heal() {
    synchronized (lock) {
      partitioned = false;
      lock.notifyAll();
    }
  }

  private void awaitHealed() throws IOException {
    synchronized (lock) {
      while (partitioned && !closed) {
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
      awaitHealed();
      Socket to = new Socket(InetAddress.getLoopbackAddress(), port);
      openResources.add(to);
      threads.execute(() -> copy(from, to));
      copy(to, from);
    } catch (IOException e) {
      close(from);
    }
  }

  /** Copies bytes in one direction until either side is closed. */
  private void copy(Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        awaitHealed();
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
