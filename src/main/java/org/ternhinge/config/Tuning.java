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
 * @param roundS maximum interval between two scheduling rounds; events trigger a round sooner
 * @param roundGapS minimum interval between two scheduling rounds
 * @param leadershipS duration of the leadership lease
 * @param renewS interval between renewals of the leadership lease
 * @param marginS safety margin, subtracted from every duration on which safety depends
 * @param graceS how long a leader that can't renew its lease still answers heartbeats; a new leader
 *     adds this time to its wait for silent workers
 * @param idleS how long a machine may be idle before it is released
 * @param logTimes whether log lines begin with a timestamp
 * @param zoneFailover settings of zone failover; empty if it is disabled
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

  /** Fraction of the renewal interval after which an unanswered renewal is repeated. */
  private static final double OVERDUE_SHARE = 0.7;

  /** The settings that apply if the operators define none. */
  public static final Tuning DEFAULT =
      new Tuning(1.0, 0.1, 6.0, 2.0, 0.3, 30.0, 40.0, false, Optional.empty());

  /**
   * Returns how many seconds a leader may rely on its lease after it has sent the last successful
   * renewal: the lease duration minus clock drift and safety margin.
   */
  public double leaseValidityS() {
    return leadershipS * (1 - Settings.MAX_CLOCK_DRIFT) - marginS;
  }

  /**
   * Returns the seconds after which a worker's lease is certain to have expired, by the clock of a
   * controller: the lease duration plus clock drift and safety margin.
   */
  public double workerLeaseS(Settings.WorkerTimings workers) {
    return workers.leaseS() * (1 + Settings.MAX_CLOCK_DRIFT) + marginS;
  }

  /**
   * Returns the seconds after which an unanswered renewal is repeated before the next regular one.
   */
  public double renewalOverdueS() {
    return renewS * OVERDUE_SHARE;
  }

  /** Loads a tuning file, which must exist. */
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

  /** Returns a copy with the given settings of zone failover. */
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
      // Avoids loading the classes of the HCL parser.
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

  /** Validates the names in these settings against the platform's settings. */
  public void check(Settings settings) throws SettingsException {
    if (zoneFailover.isPresent()) {
      ZoneFailoverReader.check(zoneFailover.get(), settings);
    }
  }
}
