package org.ternhinge.config;

import com.bertramlabs.plugins.hcl4j.HCLParser;
import com.bertramlabs.plugins.hcl4j.HCLParserException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/**
 * The operators' settings, from an optional HCL file. All times are in seconds.
 *
 * @param roundS longest interval between two scheduling rounds; events trigger a round sooner
 * @param roundGapS shortest interval between two rounds
 * @param leadershipS duration of the leadership lease
 * @param renewS interval of its renewal
 * @param marginS safety margin, subtracted from every duration that safety depends on
 * @param graceS how long a leader that can't renew its lease still answers heartbeats; a new leader
 *     adds it to its wait for silent workers
 * @param idleS how long a machine is idle before it is released
 * @param logTimes whether lines of the log carry the time of day
 * @param zoneFailover settings of zone failover; empty where it is off
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

  /** Share of the renewal interval after which an unanswered renewal is repeated. */
  private static final double OVERDUE_SHARE = 0.7;

  /** The settings that hold where the operators name none. */
  public static final Tuning DEFAULT =
      new Tuning(1.0, 0.1, 6.0, 2.0, 0.3, 30.0, 40.0, false, Optional.empty());

  /**
   * For how many seconds a leader may rely on its lease, counted from the sending of the last
   * renewal that succeeded: the lease's duration less clock drift and margin.
   */
  public double leaseValidityS() {
    return leadershipS * (1 - Settings.MAX_CLOCK_DRIFT) - marginS;
  }

  /**
   * Seconds after which a worker's lease has certainly expired, by the clock of a controller:
   * longer than the worker counts, by the drift of clocks and the margin.
   */
  public double workerLeaseS(Settings.WorkerTimings workers) {
    return workers.leaseS() * (1 + Settings.MAX_CLOCK_DRIFT) + marginS;
  }

  /** Seconds after which an unanswered renewal is followed by the next one ahead of its time. */
  public double renewalOverdueS() {
    return renewS * OVERDUE_SHARE;
  }

  /** Reads the file, which has to exist. */
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

  /** The same with zone failover. */
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

  /** Reads HCL such as {@code round_s = 1.0}; unknown names are errors. */
  public static Tuning read(String hcl) throws SettingsException {
    if (hasOnlyComments(hcl)) {
      // Saves the time to load the parser's classes.
      return DEFAULT;
    }
    HclValues values = parse(hcl);
    Tuning tuning = read(values, DEFAULT);
    values.rejectUnknownNames();
    if (tuning.renewS * 2 + tuning.marginS >= tuning.leadershipS) {
      throw values.error("renew_s", "two renewals have to fit in leadership_s");
    }
    return tuning;
  }

  private static Tuning read(HclValues values, Tuning defaults) throws SettingsException {
    return new Tuning(
        values.numberBetween("round_s", defaults.roundS, 0.1, 60),
        values.numberBetween("round_gap_s", defaults.roundGapS, 0.01, 10),
        values.numberBetween("leadership_s", defaults.leadershipS, 1, 600),
        values.numberBetween("renew_s", defaults.renewS, 0.1, 200),
        values.numberBetween("margin_s", defaults.marginS, 0.05, 10),
        values.numberBetween("grace_s", defaults.graceS, 0, 600),
        values.numberBetween("idle_s", defaults.idleS, 1, 86_400),
        values.flag("log_times", defaults.logTimes),
        zoneFailover(values));
  }

  private static Optional<ZoneFailoverSettings> zoneFailover(HclValues values)
      throws SettingsException {
    Optional<Object> block = values.remove(ZoneFailoverReader.BLOCK);
    return block.isPresent() ? Optional.of(ZoneFailoverReader.read(block.get())) : Optional.empty();
  }

  private static boolean hasOnlyComments(String hcl) {
    return hcl.lines().allMatch(line -> line.isBlank() || line.stripLeading().startsWith("#"));
  }

  private static HclValues parse(String hcl) throws SettingsException {
    try {
      return HclValues.file(new HCLParser().parse(hcl));
    } catch (HCLParserException | IOException | RuntimeException e) {
      throw new SettingsException("tuning: not HCL: " + e.getMessage());
    }
  }

  /** Checks the names in these settings against the platform's settings. */
  public void check(Settings settings) throws SettingsException {
    if (zoneFailover.isPresent()) {
      ZoneFailoverReader.check(zoneFailover.get(), settings);
    }
  }
}
