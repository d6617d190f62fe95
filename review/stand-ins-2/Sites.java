import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The settings of the two sites of the brief. */
final class Sites {
  private Sites() {}

  /** Tallinn: 16 teams, 24 CPUs guaranteed and 48 at most, 2 GPUs guaranteed and 6 at most. */
  static Map<String, Object> tallinn() {
    Map<String, Object> out =
        Json.of("count", 3, "zones", List.of("parnu", "tartu", "ulemiste"));
    out.put("teams", teams("prognoos", Json.of("cpus", 24.0, "cpus_max", 48.0, "gpus", 2.0, "gpus_max", 6.0)));
    out.put("objectives", List.of());
    out.put("workers", workers(30.0, 5.0));
    out.put("state", Json.of("rps", 80.0, "write_rps", 30.0, "value_kb", 8.0, "txn_ops", 16));
    out.put("cloud", Json.of("rps", 4.0, "list_lag_s", 10.0));
    out.put("machine_limits", Json.of("cpu_share", 0.17, "mem_mb", 263.0, "max_sockets", 1800));
    out.put("clock_error_ms", 25.0);
    return out;
  }

  /** Tallinn as in kit/change, with three of its five controllers: larger teams, reports each 4 s. */
  static Map<String, Object> tallinnNext() {
    Map<String, Object> out = tallinn();
    out.put("teams", teams("prognoos", Json.of("cpus", 600.0, "cpus_max", 3500.0, "gpus", 60.0, "gpus_max", 150.0)));
    Map<String, Object> workers = workers(30.0, 5.0);
    workers.put("report_s", 4.0);
    out.put("workers", workers);
    return out;
  }

  /** Reykjavik: 16 teams, 24 CPUs guaranteed and 150 at most. */
  static Map<String, Object> reykjavik() {
    Map<String, Object> out = Json.of("count", 3, "zones", List.of("akureyri", "grandi"));
    out.put("teams", teams("loftslag", Json.of("cpus", 24.0, "cpus_max", 150.0, "gpus", 0.0, "gpus_max", 0.0)));
    out.put("objectives", List.of());
    out.put("workers", workers(40.0, 8.0));
    out.put("state", Json.of("rps", 200.0, "write_rps", 40.0, "value_kb", 8.0, "txn_ops", 32));
    out.put("cloud", Json.of("rps", 2.0, "list_lag_s", 12.0));
    out.put("machine_limits", Json.of("cpu_share", 0.34, "mem_mb", 263.0, "max_sockets", 1500));
    out.put("clock_error_ms", 25.0);
    return out;
  }

  private static List<Object> teams(String name, Map<String, Object> amounts) {
    List<Object> teams = new ArrayList<>();
    for (int i = 0; i < 16; i++) {
      Map<String, Object> team = Json.of("name", String.format("%s-%02d", name, i));
      team.putAll(amounts);
      teams.add(team);
    }
    return teams;
  }

  private static Map<String, Object> workers(double gangWaitS, double gangPeerS) {
    Map<String, Object> out = Json.of("report_s", 3.0, "lease_s", 24.0);
    out.put("gang_wait_s", gangWaitS);
    out.put("gang_peer_s", gangPeerS);
    out.put("cancel_s", 44.0);
    return out;
  }

  /** State service and cloud with the limits of a site; machines are up after two seconds. */
  static StateService state(Map<String, Object> deployment) {
    Map<?, ?> limits = (Map<?, ?>) deployment.get("state");
    return new StateService(
        (Double) limits.get("rps"),
        (Double) limits.get("write_rps"),
        (Double) limits.get("value_kb"),
        (Integer) limits.get("txn_ops"));
  }

  @SuppressWarnings("unchecked")
  static Fleet fleet(Record record, Map<String, Object> deployment, List<Fleet.Type> types) {
    Map<?, ?> cloud = (Map<?, ?>) deployment.get("cloud");
    Map<?, ?> workers = (Map<?, ?>) deployment.get("workers");
    return new Fleet(
        record,
        types,
        (List<String>) deployment.get("zones"),
        2,
        (Double) cloud.get("list_lag_s"),
        (Double) cloud.get("rps"),
        (Double) workers.get("report_s"),
        (Double) workers.get("lease_s"));
  }
}
