import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A job whose CPUs are what was left of a subtraction. */
public final class Case1 extends Case {
  private static final int NODES = 3;
  private static final int MACHINES = 6;
  private static final double MAX_WAIT_S = 90;
  private static final String FIRST = "wk-000100";
  private static final String MISTAKEN = "wk-000200";
  private static final List<String> LATER = List.of("wk-000301", "wk-000302", "wk-000303");

  private final Controllers controllers;
  private final Store store;
  private final Fleet fleet;
  private final Set<String> started = ConcurrentHashMap.newKeySet();

  private Case1(boolean trouble) throws Exception {
    super("review/1", trouble);
    controllers = new Controllers(record, dir, NODES);
    store = new Store(record, 80, 30, 8, 16);
    fleet =
        new Fleet(
            record,
            controllers,
            List.of(new Fleet.Type("kilu", 4, 0, 8, 0.14, 20)),
            tallinnZones(),
            3,
            24);
  }

  public static void main(String[] args) throws Exception {
    // The argument is TROUBLE: 0 leaves the disruption out.
    new Case1(!args[0].equals("0")).run();
  }

  @Override
  void endProcesses() {
    controllers.endAll();
  }

  private static String jobOf(String task) {
    return task.substring(0, task.indexOf('/'));
  }

  private final class Watcher implements Fleet.Observer {
    @Override
    public void started(Fleet.Worker worker, String task, long attempt) {
      started.add(jobOf(task));
      record.line(worker.name + ": runs " + task + " attempt " + attempt);
    }

    @Override
    public void ended(Fleet.Worker worker, String task, long attempt, String why) {
      record.line(worker.name + ": " + task + " attempt " + attempt + " ended: " + why);
    }
  }

  private String told(String job) {
    return Http.call("GET", controllers.port(0), "/submissions/" + job, null, 2).text("astand");
  }

  @Override
  int play() throws Exception {
    fleet.observer = new Watcher();
    fleet.runTime = (job, task) -> job.equals(LATER.get(2)) ? 10_000 : 2;
    for (int i = 0; i < NODES; i++) {
      controllers.configure(
          i,
          tallinnZones(),
          store.port(),
          fleet.port(),
          deployment -> {
            fillTallinn(deployment, 4, 48);
            stateLimits(deployment, "state", 80, 30, 8, 16);
          });
      controllers.start(i);
    }
    for (int i = 0; i < NODES; i++) {
      if (!controllers.awaitHealthy(i, 10)) {
        throw new CannotRun("a controller is not healthy");
      }
    }
    for (int i = 0; i < MACHINES; i++) {
      fleet.add("kilu", tallinnZones().get(i % 3));
    }
    submit(controllers, Jobs.job(FIRST, "batch", 2, 1, 1));
    await("the first job is done", 15, () -> told(FIRST).equals("done"));
    if (trouble) {
      ObjectNode mistaken = Jobs.job(MISTAKEN, "batch", 1, 0.1 + 0.2 - 0.3, 1);
      mistaken.put("eigandi", "prognoos-03");
      Http.Answer answer = send(controllers, 1, "POST", "/submissions", mistaken);
      if (answer.status() == 400 || answer.status() == 422) {
        record.say("the mistaken job was not accepted");
      }
    }
    ObjectNode array = Jobs.job(LATER.get(0), "batch", 4, 1, 1);
    ObjectNode gang = Jobs.job(LATER.get(1), "group", 2, 1, 1).put("eigandi", "prognoos-01");
    ObjectNode service = Jobs.job(LATER.get(2), "daemon", 1, 1, 1).put("eigandi", "prognoos-02");
    submit(controllers, array);
    submit(controllers, gang);
    submit(controllers, service.put("forgang", "production"));
    double acceptedAt = record.now();
    boolean leaderEnds = "1".equals(System.getenv("LEADER_ENDS"));
    while (record.now() - acceptedAt < MAX_WAIT_S && !started.containsAll(LATER)) {
      Thread.sleep(2000);
      if (leaderEnds && record.now() - acceptedAt > MAX_WAIT_S / 3) {
        // Not a part of the case: shows whether another leader starts the jobs.
        leaderEnds = false;
        controllers.kill(indexOf(store.leader()));
      }
      StringBuilder line = new StringBuilder("told:");
      for (String job : LATER) {
        line.append(' ').append(job).append(' ').append(told(job));
      }
      int tasks = fleet.workers().values().stream().mapToInt(Fleet.Worker::taskCount).sum();
      record.line(line + "; tasks on all " + fleet.workers().size() + " machines: " + tasks);
    }
    double waited = record.now() - acceptedAt;
    int left = 0;
    for (String job : LATER) {
      if (!started.contains(job)) {
        left++;
        record.line("left waiting for " + Math.round(waited) + " s: " + job);
      }
    }
    record.say("jobs left waiting beside free machines: " + left + " of " + LATER.size());
    if (left > 0) {
      send(controllers, 0, "POST", "/submissions/" + MISTAKEN + "/cancel", null);
      Thread.sleep(4000);
      record.say("started after the mistaken job was cancelled: " + started.containsAll(LATER));
    }
    return left == 0 ? HELD : BROKEN;
  }
}
