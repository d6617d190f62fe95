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
 * A short run of the service on loopback, with nothing behind it, so that the build can archive the
 * classes that a start needs: a process with a sixth of a core reads them several times faster.
 */
final class ClassDataTraining {
  private static final String REPORT =
      "{\"vel\":\"n-1\",\"endpoint\":\"127.0.0.1:1\",\"velagerd\":\"t\",\"svaedi\":\"z\","
          + "\"lanvelar\":false,\"vakt\":1,\"raodnumer\":1,\"valdmerki\":0,\"verkbitar\":["
          + "{\"verkbiti\":\"wk-1/0\",\"tilraun\":1,\"astand\":\"running\"}]}";

  private ClassDataTraining() {}

  static void run() throws IOException, InterruptedException, WireException {
    int client = freePort();
    int peer = freePort();
    int nobody = freePort();
    Settings settings =
        new Settings(
            "a",
            "z",
            local(client),
            local(peer),
            Map.of("b", local(nobody)),
            local(nobody),
            local(nobody),
            List.of("z"),
            Map.of(),
            List.of(),
            new Settings.Workers(3, 24, 30, 5, 44),
            new Settings.StoreLimits(80, 30, 8, 16),
            new Settings.CloudLimits(4, 10),
            100,
            0.025);
    Thread service = new Thread(() -> serve(settings), "training");
    service.setDaemon(true);
    service.start();
    Heartbeat.read(REPORT.getBytes(StandardCharsets.UTF_8)).write();
    TaskId task = new TaskId(new JobId("wk-1"), 0);
    Command.answer(
        new Term(1), List.of(new Command(Command.Op.START, task, new AttemptNumber(1), 0)));
    for (int i = 0; i < 20; i++) {
      Thread.sleep(100);
      ask(client, "GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
      ask(
          client,
          "POST /agent/beat HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: "
              + REPORT.length()
              + "\r\n\r\n"
              + REPORT);
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
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return s.getLocalPort();
    }
  }

  private static void ask(int port, String request) {
    try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
      OutputStream out = s.getOutputStream();
      out.write(request.getBytes(StandardCharsets.UTF_8));
      out.flush();
      s.getInputStream().readAllBytes();
    } catch (IOException e) {
      // The service is not listening yet; the next try comes soon.
      Thread.onSpinWait();
    }
  }
}
