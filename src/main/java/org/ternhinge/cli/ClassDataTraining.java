package org.ternhinge.cli;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Tuning;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.JobId;
import org.ternhinge.model.TaskId;
import org.ternhinge.model.Term;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.WireException;

/**
 * Training run for class data sharing: runs the service on loopback for a short time, without a
 * cloud or a key-value store. The build archives the classes that it loads; on a sixth of a core,
 * startup from the archive is several times faster.
 */
final class ClassDataTraining {
  /** A heartbeat as a worker sends it. */
  private static final String HEARTBEAT =
      "{\"vel\":\"n-1\",\"endpoint\":\"127.0.0.1:1\",\"velagerd\":\"t\",\"svaedi\":\"z\","
          + "\"lanvelar\":false,\"vakt\":1,\"raodnumer\":1,\"valdmerki\":0,\"verkbitar\":["
          + "{\"verkbiti\":\"wk-1/0\",\"tilraun\":1,\"astand\":\"running\"}]}";

  /** Number of requests of each kind. */
  private static final int REQUESTS = 20;

  /** Pause before each pair of requests, in milliseconds. */
  private static final int PAUSE_MS = 100;

  private ClassDataTraining() {}

  /** Runs the service for two seconds and sends requests to it. */
  static void run() throws IOException, InterruptedException, WireException {
    int clientPort = freePort();
    int peerPort = freePort();
    int unusedPort = freePort();
    Settings settings =
        new Settings(
            "a",
            "z",
            local(clientPort),
            local(peerPort),
            Map.of("b", local(unusedPort)),
            local(unusedPort),
            local(unusedPort),
            List.of("z"),
            Map.of(),
            List.of(),
            new Settings.WorkerTimings(3, 24, 30, 5, 44),
            new Settings.StoreLimits(80, 30, 8, 16),
            new Settings.CloudLimits(4, 10),
            100,
            0.025);
    Thread service = new Thread(() -> serve(settings), "training");
    service.setDaemon(true);
    service.start();
    Heartbeat.read(HEARTBEAT.getBytes(StandardCharsets.UTF_8)).write();
    TaskId task = new TaskId(new JobId("wk-1"), 0);
    Command.heartbeatResponse(
        new Term(1), List.of(new Command(Command.Op.START, task, new AttemptNumber(1), 0)));
    for (int i = 0; i < REQUESTS; i++) {
      Thread.sleep(PAUSE_MS);
      sendRequest(clientPort, "GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
      sendRequest(
          clientPort,
          "POST /agent/beat HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: "
              + HEARTBEAT.length()
              + "\r\n\r\n"
              + HEARTBEAT);
    }
  }

  private static void serve(Settings settings) {
    try {
      Service.run(settings, Tuning.DEFAULT);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Endpoint local(int port) {
    return new Endpoint("127.0.0.1", port);
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private static void sendRequest(int port, String request) {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      OutputStream out = socket.getOutputStream();
      out.write(request.getBytes(StandardCharsets.UTF_8));
      out.flush();
      socket.getInputStream().readAllBytes();
    } catch (IOException e) {
      // The service may not be listening yet; the next request follows after the pause.
      Thread.onSpinWait();
    }
  }
}
