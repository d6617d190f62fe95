import java.util.List;
import java.util.Map;

/**
 * The rule of the wait: how long a job has been waiting, without a break, while a machine that fits
 * had room and its team was under its limit.
 */
final class Waiting {
  private Waiting() {}

  /**
   * Watches a job until it starts or has waited for a time beside room; the longest wait in seconds.
   */
  static double watch(
      Record record,
      Fleet fleet,
      Map<String, Object> job,
      double cpusOfLimit,
      double maxS,
      double untilS)
      throws InterruptedException {
    String ref = (String) job.get("ref");
    double since = -1;
    double longest = 0;
    while (record.now() < untilS) {
      List<Worker> workers = fleet.workers();
      if (workers.stream().anyMatch(worker -> worker.started(ref))) {
        record.line("%s has started after %.1f s beside room", ref, longest);
        return longest;
      }
      double used = 0;
      boolean room = false;
      String host = "";
      for (Worker worker : workers) {
        used += worker.cpusOf(job.get("eigandi"));
        if (allows(job, worker) && worker.hasRoomFor(job)) {
          room = true;
          host = worker.machine().name;
        }
      }
      boolean waits = room && used + Json.amount(job, "cpus", 0) <= cpusOfLimit;
      if (waits && since < 0) {
        since = record.now();
        record.line("%s waits; %s has room for a task, its team uses %.1f CPUs of %.1f", ref, host, used, cpusOfLimit);
      } else if (!waits) {
        since = -1;
      }
      longest = since < 0 ? longest : Math.max(longest, record.now() - since);
      if (longest > maxS) {
        record.line("%s has waited for %.1f s beside room on %s", ref, longest, host);
        return longest;
      }
      Thread.sleep(100);
    }
    return longest;
  }

  private static boolean allows(Map<String, Object> job, Worker worker) {
    List<?> types = (List<?>) job.get("velagerdir");
    Object zone = job.get("svaedi");
    return (types == null || types.contains(worker.machine().type.name()))
        && (zone == null || zone.equals(worker.machine().zone))
        && (!worker.machine().spot || Boolean.TRUE.equals(job.get("lanvelar")));
  }
}
