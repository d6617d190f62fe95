import java.nio.file.Path;

/** Plays a case and ends with its status. Arguments: the case and its folder. */
final class Play {
  private Play() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record = new Record(Path.of(args[1], "record.txt"));
    record.line("case %s, %s the disruption", args[0], trouble ? "with" : "without");
    int status = 2;
    try {
      status =
          switch (args[0]) {
            case "lowered-limits" -> CaseLoweredLimits.play(record, trouble);
            case "cancelled-gpu-job" -> CaseCancelledGpuJob.play(record, trouble);
            case "gang" -> CaseGang.play(record, trouble);
            default -> throw new IllegalArgumentException("no such case: " + args[0]);
          };
    } catch (Exception e) {
      record.line("%s", e);
    }
    record.line(
        status == 0 ? "the rule held" : status == 1 ? "RULE BROKEN: left waiting" : "could not run");
    System.exit(status);
  }
}
