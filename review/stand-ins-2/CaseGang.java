import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * More work than room: other teams use all machines with accelerators, so three jobs of a team that
 * need one each have to wait. A fourth job of that team needs a machine of another type, which is
 * there and has room.
 */
final class CaseGang {
  private static final double MAX_WAIT_S = 90;
  private static final double END_S = 114;

  private CaseGang() {}

  /** Plays the case; 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
  static int play(Record record, boolean trouble) throws IOException, InterruptedException {
    Map<String, Object> site = Sites.tallinn();
    Fleet fleet =
        Sites.fleet(
            record,
            site,
            List.of(
                new Fleet.Type("raim", 8, 0, 32, 0.32, 5),
                new Fleet.Type("lohe", 16, 2, 128, 5.29, 3)));
    int status = 2;
    try (Cluster cluster = new Cluster(record, site, Sites.state(site), fleet)) {
      cluster.start();
      boolean ran = submit(cluster, keeper(), 300);
      List<String> running = new ArrayList<>(List.of("wk-000001"));
      for (int i = 2; trouble && i <= 4; i++) {
        ran &= submit(cluster, accelerated("wk-00000" + i, "prognoos-1" + i), 300);
        running.add("wk-00000" + i);
      }
      ran &= Cluster.await(25, () -> running.stream().allMatch(job -> started(fleet, job)));
      for (int i = 5; i <= 7; i++) {
        ran &= submit(cluster, accelerated("wk-00000" + i, "prognoos-02"), 5);
      }
      Thread.sleep(3000);
      Map<String, Object> job = Cluster.job("wk-000008", "prognoos-02", "batch", "normal");
      job.put("cpus", 7.0);
      job.put("velagerdir", List.of("raim"));
      ran &= submit(cluster, job, 5);
      double wait = Waiting.watch(record, fleet, job, 48, MAX_WAIT_S, END_S);
      for (int i = 5; i <= 8; i++) {
        cluster.poll("wk-00000" + i);
      }
      if (ran) {
        status = wait > MAX_WAIT_S ? 1 : started(fleet, "wk-000008") ? 0 : 2;
      }
    }
    return status;
  }

  /** A small job that runs on and keeps a machine of the other type from being returned. */
  private static Map<String, Object> keeper() {
    Map<String, Object> job = Cluster.job("wk-000001", "prognoos-01", "batch", "normal");
    job.put("velagerdir", List.of("raim"));
    return job;
  }

  /** A job of the class tuul: a gang of one task. */
  private static Map<String, Object> accelerated(String ref, String team) {
    Map<String, Object> job = Cluster.job(ref, team, "group", "normal");
    job.put("cpus", 14.0);
    job.put("accelerators", 2.0);
    job.put("memory_gb", 100.0);
    job.put("together", true);
    return job;
  }

  private static boolean submit(Cluster cluster, Map<String, Object> job, double runS)
      throws InterruptedException {
    return cluster.submit(job, runS) == 201;
  }

  private static boolean started(Fleet fleet, String job) {
    return fleet.workers().stream().anyMatch(worker -> worker.started(job));
  }
}
