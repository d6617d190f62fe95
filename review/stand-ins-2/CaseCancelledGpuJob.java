import java.io.IOException;
import java.util.List;
import java.util.Map;

/** A user calls off a running job with accelerators; a job without any is submitted afterwards. */
final class CaseCancelledGpuJob {
  private static final double MAX_WAIT_S = 90;
  private static final double END_S = 114;

  private CaseCancelledGpuJob() {}

  /** Plays the case; 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
  static int play(Record record, boolean trouble) throws IOException, InterruptedException {
    Map<String, Object> site = Sites.reykjavik();
    Fleet fleet =
        Sites.fleet(
            record,
            site,
            List.of(
                new Fleet.Type("lundi", 8, 0, 32, 0.55, 29),
                new Fleet.Type("haforn", 16, 2, 128, 4.51, 18)));
    int status = 2;
    try (Cluster cluster = new Cluster(record, site, Sites.state(site), fleet)) {
      cluster.start();
      Map<String, Object> small = Cluster.job("wk-000001", "loftslag-01", "batch", "normal");
      small.put("velagerdir", List.of("haforn"));
      Map<String, Object> gpu = Cluster.job("wk-000002", "loftslag-02", "group", "high");
      gpu.put("cpus", 14.0);
      gpu.put("accelerators", 2.0);
      gpu.put("memory_gb", 100.0);
      gpu.put("together", true);
      boolean ran = cluster.submit(small, 300) == 201 && await(fleet, "wk-000001");
      ran &= cluster.submit(gpu, 300) == 201 && await(fleet, "wk-000002");
      if (trouble) {
        ran &= cluster.cancel("wk-000002") == 200;
        ran &= Cluster.await(44, () -> !runs(fleet, "wk-000002"));
      }
      Map<String, Object> job = Cluster.job("wk-000003", "loftslag-03", "batch", "normal");
      job.put("cpus", 10.0);
      job.put("memory_gb", 40.0);
      ran &= cluster.submit(job, 5) == 201;
      double wait = Waiting.watch(record, fleet, job, 150, MAX_WAIT_S, END_S);
      cluster.poll("wk-000003");
      if (ran) {
        boolean started = fleet.workers().stream().anyMatch(w -> w.started("wk-000003"));
        status = wait > MAX_WAIT_S ? 1 : started ? 0 : 2;
      }
    }
    return status;
  }

  private static boolean runs(Fleet fleet, String job) {
    return fleet.workers().stream()
        .anyMatch(worker -> worker.running().stream().anyMatch(t -> t.startsWith(job + "/")));
  }

  private static boolean await(Fleet fleet, String job) throws InterruptedException {
    return Cluster.await(20, () -> runs(fleet, job));
  }
}
