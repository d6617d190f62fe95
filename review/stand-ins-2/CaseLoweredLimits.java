import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The state service lowers its limits, as the settings announced, while a large service runs. Then
 * one of its replicas fails.
 */
final class CaseLoweredLimits {
  private static final int REPLICAS = 200;
  private static final double MAX_WAIT_S = 90;
  private static final double END_S = 115;
  private static final String FAILED = "wk-000001/5";

  private CaseLoweredLimits() {}

  /** Plays the case; 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
  static int play(Record record, boolean trouble) throws IOException, InterruptedException {
    Map<String, Object> site = Sites.tallinnNext();
    Fleet fleet = Sites.fleet(record, site, List.of(new Fleet.Type("kilu", 4, 0, 8, 0.14, 210)));
    StateService state = Sites.state(site);
    int status = 2;
    try (Cluster cluster = new Cluster(record, site, state, fleet)) {
      cluster.start();
      Map<String, Object> job = Cluster.job("wk-000001", "prognoos-01", "daemon", "production");
      job.put("verkbitar", REPLICAS);
      job.put("cpus", 4.0);
      job.put("memory_gb", 4.1);
      job.put("scatter", true);
      job.put("aaetlun_s", 0.0);
      boolean ran = cluster.submit(job, 1000) == 201;
      ran &= Cluster.await(30, () -> replicas(fleet) == REPLICAS);
      record.line("%d replicas run", replicas(fleet));
      Map<String, Object> next = new LinkedHashMap<>(site);
      if (trouble) {
        Map<String, Object> limits = Json.of("rps", 80.0, "write_rps", 30.0);
        limits.put("value_kb", 8.0);
        limits.put("txn_ops", 16);
        limits.put(
            "next", Json.of("rps", 80.0, "write_rps", 21.0, "value_kb", 2.0, "txn_ops", 5));
        next.put("state", limits);
      }
      cluster.roll(next);
      if (trouble) {
        state.lower(21, 2, 5);
        record.line("the state service lowers its limits: 2 KiB, 5 changes, 21 changes a second");
      }
      Thread.sleep(3000);
      ran &= replicas(fleet) == REPLICAS;
      int before = starts();
      fleet.workers().stream()
          .filter(worker -> worker.running().contains(FAILED))
          .forEach(worker -> worker.fail(FAILED));
      double wait = watch(record, fleet, job);
      record.line("%d starts since, %d replicas run", starts() - before, replicas(fleet));
      cluster.poll("wk-000001");
      if (ran) {
        status = wait > MAX_WAIT_S ? 1 : replicas(fleet) == REPLICAS ? 0 : 2;
      }
    }
    return status;
  }

  /** Watches until the failed replica runs again; how long it waited beside room, in seconds. */
  private static double watch(Record record, Fleet fleet, Map<String, Object> job)
      throws InterruptedException {
    double since = -1;
    double wait = 0;
    while (record.now() < END_S && wait <= MAX_WAIT_S && replicas(fleet) < REPLICAS) {
      long room = fleet.workers().stream().filter(worker -> worker.hasRoomFor(job)).count();
      if (room == 0) {
        since = -1;
      } else if (since < 0) {
        since = record.now();
        record.line("%s waits; %d machines have room for it", FAILED, room);
      }
      wait = since < 0 ? wait : Math.max(wait, record.now() - since);
      Thread.sleep(100);
    }
    record.line("%s has waited for %.1f s beside room", FAILED, wait);
    return wait;
  }

  private static int replicas(Fleet fleet) {
    return fleet.workers().stream().mapToInt(worker -> worker.running().size()).sum();
  }

  private static int starts() {
    return Worker.runs().size();
  }
}
