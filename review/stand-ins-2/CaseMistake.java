import java.math.BigDecimal;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** One job of 26 is submitted with a mistake in the amount of CPUs; the others are ordinary. */
final class CaseMistake {
  private static final int ORDINARY_JOBS = 25;
  private static final double WAIT_S = 92;

  private CaseMistake() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record = new Record(Path.of(args[0], "record.txt"));
    Map<String, Object> site = Sites.tallinn();
    Fleet fleet =
        Sites.fleet(
            record,
            site,
            List.of(
                new Fleet.Type("kilu", 4, 0, 8, 0.14, 10),
                new Fleet.Type("tursk", 16, 0, 128, 0.77, 5)));
    int status = 2;
    try (Cluster cluster = new Cluster(record, site, Sites.state(site), fleet)) {
      cluster.start();
      if (trouble) {
        Map<String, Object> mistake = Cluster.job("wk-000001", "prognoos-00", "batch", "low");
        mistake.put("cpus", new BigDecimal("0.0000000001"));
        record.line("the job with the mistake is answered %d", cluster.submit(mistake, 3));
      }
      List<String> accepted = new ArrayList<>();
      for (int i = 0; i < ORDINARY_JOBS; i++) {
        String ref = String.format("wk-%06d", i + 2);
        String team = String.format("prognoos-%02d", 1 + i % 15);
        if (cluster.submit(Cluster.job(ref, team, "batch", "normal"), 3) == 201) {
          accepted.add(ref);
        }
      }
      double from = record.now();
      Cluster.await(WAIT_S, () -> Worker.runs().size() >= ORDINARY_JOBS);
      for (String ref : accepted) {
        cluster.poll(ref);
      }
      int ran = Worker.runs().size();
      record.line("%.1f s after the last submission: %d tasks have run", record.now() - from, ran);
      List<String> failures = cluster.logged("planning failed");
      record.line("%d lines of the controllers' logs say: planning failed", failures.size());
      if (accepted.size() == ORDINARY_JOBS && cluster.leader() >= 0) {
        boolean nothing = fleet.workers().stream().allMatch(worker -> worker.running().isEmpty());
        status = ran > 0 ? 0 : nothing ? 1 : 2;
      }
    }
    record.line(
        status == 0 ? "the rule held" : status == 1 ? "RULE BROKEN: nothing_ran" : "could not run");
    System.exit(status);
  }
}
