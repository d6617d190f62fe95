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

  private final ExecutorService threads = Executors.newCachedThreadPool(LinkRelay::daemon);
  private final Set<AutoCloseable> open = ConcurrentHashMap.newKeySet();
  private final Object gate = new Object();
  private boolean cut;
  private volatile boolean closed;

  private static Thread daemon(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    return thread;
  }

  /** Opens a port whose connections go to another one; says which. */
  int forwardTo(int port) throws IOException {
    ServerSocket server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    open.add(server);
    threads.execute(() -> accept(server, port));
    return server.getLocalPort();
  }

  /** From now on nothing passes. */
  void cut() {
    synchronized (gate) {
      cut = true;
    }
  }

  /** Ends the cut: delayed bytes are delivered, and all later ones. */
  void heal() {
    synchronized (gate) {
      cut = false;
      gate.notifyAll();
    }
  }

  private void awaitOpen() throws IOException {
    synchronized (gate) {
      while (cut && !closed) {
        try {
          gate.wait();
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
        open.add(from);
        threads.execute(() -> connect(from, port));
      }
    } catch (IOException e) {
      // The relay was closed.
      close(server);
    }
  }

  private void connect(Socket from, int port) {
    try {
      awaitOpen();
      Socket to = new Socket(InetAddress.getLoopbackAddress(), port);
      open.add(to);
      threads.execute(() -> pass(from, to));
      pass(to, from);
    } catch (IOException e) {
      close(from);
    }
  }

  /** Passes bytes on in one direction until one side is closed. */
  private void pass(Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        awaitOpen();
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

  private void close(AutoCloseable end) {
    open.remove(end);
    try {
      end.close();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void close() {
    closed = true;
    heal();
    Set.copyOf(open).forEach(this::close);
    threads.shutdownNow();
  }
}
