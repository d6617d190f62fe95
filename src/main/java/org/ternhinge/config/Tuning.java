package org.ternhinge.config;

import com.bertramlabs.plugins.hcl4j.HCLParser;
import com.bertramlabs.plugins.hcl4j.HCLParserException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * The operators' own settings, from an optional HCL file.
 *
 * @param roundS longest time between two rounds; events bring a round sooner
 * @param roundGapS shortest time between two rounds
 * @param leadershipS life of the leadership lease
 * @param renewS interval of its renewal
 * @param marginS taken off every span of time that safety rests on
 * @param graceS how long a leader that can't renew goes on answering reports; a new leader adds it
 *     to its wait for silent workers
 * @param idleS how long a machine stays idle before it is returned
 * @param logTimes whether lines of the log carry the time of day
 */
public record Tuning(
    double roundS,
    double roundGapS,
    double leadershipS,
    double renewS,
    double marginS,
    double graceS,
    double idleS,
    boolean logTimes) {

  /** Of the renewal interval, how long an answer is waited for before the next renewal. */
  private static final double OVERDUE_SHARE = 0.7;

  public static final Tuning DEFAULT = new Tuning(1.0, 0.1, 6.0, 2.0, 0.3, 30.0, 40.0, false);

  /**
   * For how many seconds a leader may rely on its lease, counted from the sending of the last
   * renewal that succeeded: the lease's life less clock drift and margin.
   */
  public double validityS() {
    return leadershipS * (1 - Settings.DRIFT) - marginS;
  }

  /** A renewal unanswered for so many seconds is followed by the next ahead of its time. */
  public double renewalOverdueS() {
    return renewS * OVERDUE_SHARE;
  }

  /** Reads the file; a file that was named has to be there. */
  public static Tuning load(Path file) throws SettingsException {
    String text;
    try {
      text = Files.readString(file, StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new SettingsException("can't read tuning file " + file + ": " + e.getMessage());
    }
    return read(text);
  }

  /** Reads HCL such as {@code round_s = 1.0}; unknown names are errors, to catch slips. */
  public static Tuning read(String hcl) throws SettingsException {
    Map<String, Object> values;
    try {
      values = new HashMap<>(new HCLParser().parse(hcl));
    } catch (HCLParserException | IOException | RuntimeException e) {
      throw new SettingsException("tuning: not HCL: " + e.getMessage());
    }
    Tuning defaults = DEFAULT;
    Tuning out =
        new Tuning(
            take(values, "round_s", defaults.roundS, 0.1, 60),
            take(values, "round_gap_s", defaults.roundGapS, 0.01, 10),
            take(values, "leadership_s", defaults.leadershipS, 1, 600),
            take(values, "renew_s", defaults.renewS, 0.1, 200),
            take(values, "margin_s", defaults.marginS, 0.05, 10),
            take(values, "grace_s", defaults.graceS, 0, 600),
            take(values, "idle_s", defaults.idleS, 1, 86_400),
            flag(values, "log_times", defaults.logTimes));
    if (!values.isEmpty()) {
      throw new SettingsException("tuning: unknown name " + values.keySet().iterator().next());
    }
    if (out.renewS * 2 + out.marginS >= out.leadershipS) {
      throw new SettingsException("tuning: renew_s: two renewals have to fit in leadership_s");
    }
    return out;
  }

  private static boolean flag(Map<String, Object> values, String name, boolean otherwise)
      throws SettingsException {
    Object value = values.remove(name);
    if (value == null) {
      return otherwise;
    }
    if (!(value instanceof Boolean set)) {
      throw new SettingsException("tuning: " + name + ": true or false is needed");
    }
    return set;
  }

  private static double take(
      Map<String, Object> values, String name, double otherwise, double least, double most)
      throws SettingsException {
    Object value = values.remove(name);
    if (value == null) {
      return otherwise;
    }
    if (!(value instanceof Number number)
        || !(number.doubleValue() >= least && number.doubleValue() <= most)) {
      throw new SettingsException(
          "tuning: " + name + ": a number from " + least + " to " + most + " is needed");
    }
    return number.doubleValue();
  }
}
