import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/** What all cases share: arguments, a temporary folder, waiting, and the exit status. */
abstract class Case {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int COULD_NOT_RUN = 2;

  /** Ends a case that could not be played. */
  static final class CannotRun extends Exception {
    private static final long serialVersionUID = 1L;

    CannotRun(String message) {
      super(message);
    }
  }

  /** Whether the case is played with its disruption. */
  final boolean trouble;
  final Record record;
  final Path dir;

  Case(String folder, boolean trouble) throws IOException {
    this.trouble = trouble;
    record = new Record(Path.of(folder, "record.txt"));
    dir = Files.createTempDirectory("review-case");
  }

  abstract int play() throws Exception;

  /** Plays the case and exits. */
  final void run() {
    int status;
    try {
      record.line(trouble ? "with the disruption" : "without the disruption");
      status = play();
    } catch (CannotRun e) {
      record.say("could not run: " + e.getMessage());
      status = COULD_NOT_RUN;
    } catch (Exception e) {
      record.say("could not run: " + e);
      status = COULD_NOT_RUN;
    }
    end();
    record.say("status " + status);
    Runtime.getRuntime().halt(status);
  }

  /** Ends the processes and removes the temporary folder. */
  void end() {
    endProcesses();
    if (System.getenv("CASE_KEEP") != null) {
      System.out.println("logs in " + dir);
      return;
    }
    try (Stream<Path> files = Files.walk(dir)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    } catch (IOException e) {
      record.line("temporary folder not removed: " + e);
    }
  }

  abstract void endProcesses();

  void await(String what, double seconds, BooleanSupplier condition) throws Exception {
    long end = System.nanoTime() + (long) (seconds * 1e9);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new CannotRun("not within " + seconds + " s: " + what);
      }
      Thread.sleep(50);
    }
    record.line("reached: " + what);
  }

  /** The teams, workers, cloud and machine limits of the Tallinn brief. */
  static void fillTallinn(ObjectNode deployment, int teams, double cpusMax) {
    var list = deployment.putArray("teams");
    for (int i = 0; i < teams; i++) {
      list.addObject()
          .put("name", String.format("prognoos-%02d", i))
          .put("cpus", 24.0)
          .put("cpus_max", cpusMax)
          .put("gpus", 2.0)
          .put("gpus_max", 6.0);
    }
    deployment.putArray("objectives");
    deployment
        .putObject("workers")
        .put("report_s", 3.0)
        .put("lease_s", 24.0)
        .put("gang_wait_s", 30.0)
        .put("gang_peer_s", 5.0)
        .put("cancel_s", 44.0);
    deployment.putObject("cloud").put("rps", 4.0).put("list_lag_s", 10.0);
    deployment
        .putObject("machine_limits")
        .put("cpu_share", 0.17)
        .put("mem_mb", 263.0)
        .put("max_sockets", 1800);
    deployment.put("clock_error_ms", 25.0);
  }

  static ObjectNode stateLimits(
      ObjectNode parent, String field, double rps, double writeRps, double valueKb, int txnOps) {
    return parent
        .putObject(field)
        .put("rps", rps)
        .put("write_rps", writeRps)
        .put("value_kb", valueKb)
        .put("txn_ops", txnOps);
  }

  Http.Answer send(Controllers controllers, int node, String method, String path, ObjectNode body)
      throws IOException {
    double timeoutS = method.equals("GET") ? 2 : 5;
    byte[] bytes =
        body != null
            ? Http.JSON.writeValueAsBytes(body)
            : method.equals("POST") ? new byte[0] : null;
    Http.Answer answer = Http.call(method, controllers.port(node), path, bytes, timeoutS);
    String text = answer.body() == null ? "" : answer.body().toString();
    record.line(
        method + " " + path + " at " + Controllers.name(node) + ": " + answer.status() + " " + text);
    return answer;
  }

  /** Submits a job as a user does, at one node after the other. */
  void submit(Controllers controllers, ObjectNode job) throws Exception {
    for (int attempt = 0; attempt < 40; attempt++) {
      int node = attempt % controllers.count();
      int status = send(controllers, node, "POST", "/submissions", job).status();
      if (status == 200 || status == 201) {
        return;
      }
      if (status == 400 || status == 422) {
        throw new CannotRun("submission answered " + status);
      }
      Thread.sleep(1000);
    }
    throw new CannotRun("submission not accepted");
  }

  static int indexOf(String node) {
    return node.isEmpty() ? -1 : Integer.parseInt(node.substring(node.indexOf('-') + 1));
  }

  static List<String> tallinnZones() {
    return List.of("parnu", "tartu", "ulemiste");
  }
}
