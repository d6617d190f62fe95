package org.ternhinge.config;

import com.bertramlabs.plugins.hcl4j.HCLParser;
import com.bertramlabs.plugins.hcl4j.HCLParserException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

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
 * @param zoneFailover how the loss and return of zones is dealt with; empty where it is not
 */
public record Tuning(
    double roundS,
    double roundGapS,
    double leadershipS,
    double renewS,
    double marginS,
    double graceS,
    double idleS,
    boolean logTimes,
    Optional<ZoneFailoverSettings> zoneFailover) {

  /** Of the renewal interval, how long an answer is waited for before the next renewal. */
  private static final double OVERDUE_SHARE = 0.7;

  public static final Tuning DEFAULT =
      new Tuning(1.0, 0.1, 6.0, 2.0, 0.3, 30.0, 40.0, false, Optional.empty());

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
    try {
      return read(text);
    } catch (SettingsException e) {
      throw new SettingsException(file + ": " + e.getMessage());
    }
  }

  /** The same, with the loss and return of zones dealt with. */
  public Tuning withZoneFailover(ZoneFailoverSettings settings) {
    return new Tuning(
        roundS,
        roundGapS,
        leadershipS,
        renewS,
        marginS,
        graceS,
        idleS,
        logTimes,
        Optional.of(settings));
  }

  /** Reads HCL such as {@code round_s = 1.0}; unknown names are errors, to catch slips. */
  public static Tuning read(String hcl) throws SettingsException {
    if (saysNothing(hcl)) {
      // The parser's classes would be loaded by every start for a file of comments.
      return DEFAULT;
    }
    HclValues values = parse(hcl);
    Tuning defaults = DEFAULT;
    Object zoneFailover = values.take(ZoneFailoverReader.BLOCK);
    Tuning out =
        new Tuning(
            values.between("round_s", defaults.roundS, 0.1, 60),
            values.between("round_gap_s", defaults.roundGapS, 0.01, 10),
            values.between("leadership_s", defaults.leadershipS, 1, 600),
            values.between("renew_s", defaults.renewS, 0.1, 200),
            values.between("margin_s", defaults.marginS, 0.05, 10),
            values.between("grace_s", defaults.graceS, 0, 600),
            values.between("idle_s", defaults.idleS, 1, 86_400),
            values.flag("log_times", defaults.logTimes),
            zoneFailover == null
                ? Optional.empty()
                : Optional.of(ZoneFailoverReader.read(zoneFailover)));
    values.expectNothingElse();
    if (out.renewS * 2 + out.marginS >= out.leadershipS) {
      throw values.error("renew_s", "two renewals have to fit in leadership_s");
    }
    return out;
  }

  private static boolean saysNothing(String hcl) {
    return hcl.lines().allMatch(line -> line.isBlank() || line.stripLeading().startsWith("#"));
  }

  private static HclValues parse(String hcl) throws SettingsException {
    try {
      return HclValues.file(new HCLParser().parse(hcl));
    } catch (HCLParserException | IOException | RuntimeException e) {
      throw new SettingsException("tuning: not HCL: " + e.getMessage());
    }
  }

  /** Checks what these settings name against what the platform's settings know. */
  public void check(Settings settings) throws SettingsException {
    if (zoneFailover.isPresent()) {
      ZoneFailoverReader.check(zoneFailover.get(), settings);
    }
  }
}
