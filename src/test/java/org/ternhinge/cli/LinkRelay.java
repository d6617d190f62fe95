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
 * Passes connections of one group on to where they are meant for, on loopback, and can be cut. What
 * is sent while it is cut is delayed and delivered once the cut is over, as by a real network.
 */
final class LinkRelay implements AutoCloseable {
  private static final int BUFFER_BYTES = 8192;

  private final ExecutorService threads = Executors.newCachedThreadPool(LinkRelay::daemonThread);
  private final Set<AutoCloseable> openResources = ConcurrentHashMap.newKeySet();
  private final Object lock = new Object();
  private boolean cut;
  private volatile boolean closed;

  private static Thread daemonThread(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    return thread;
  }

  /** Opens a port whose connections go to another one; says which. */
  int forwardTo(int port) throws IOException {
    ServerSocket server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    openResources.add(server);
    threads.execute(() -> accept(server, port));
    return server.getLocalPort();
  }

  /** From now on nothing passes. */
  void partition() {
    synchronized (lock) {
      cut = true;
    }
  }

  /** Ends the cut: delayed bytes are delivered, and all later ones. */
  void heal() {
    synchronized (lock) {
      cut = false;
      lock.notifyAll();
    }
  }

  private void awaitHealed() throws IOException {
    synchronized (lock) {
      while (cut && !closed) {
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

  /** Passes bytes on in one direction until one side is closed. */
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
      // One side has closed its socket; the other one is closed below.
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
