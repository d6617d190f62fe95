package org.ternhinge.sim;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Team;
import org.ternhinge.config.Tuning;
import org.ternhinge.model.Endpoint;

/**
 * The settings of simulated controllers. Controllers read the limits of the key-value store when
 * they start, so announced limits apply only to controllers that start afterwards.
 */
final class ClusterSettings {
  /** Worker lease: how long tasks keep running after the last answered heartbeat, in seconds. */
  static final double LEASE_S = 24;

  /** Interval between heartbeats of a worker, in seconds. */
  static final double HEARTBEAT_S = 3;

  /** Time within which the tasks of a cancelled job have to end, in seconds. */
  static final double CANCEL_S = 44;

  /** The zones of the controllers, and of the machines unless a site defines more. */
  static final List<String> ZONES = List.of("east", "west");

  private static final int FIRST_TEAM_GUARANTEE_MILLI_CPUS = 8000;
  private static final int FIRST_TEAM_GUARANTEE_MILLI_ACCELERATORS = 2000;

  /** Ratio of a team's CPU limit to its accelerator limit. */
  private static final int CPUS_PER_ACCELERATOR = 6;

  private final SimCluster.Size size;
  private final SimCluster.Limits initial;
  private final SimCluster.Site site;
  private SimCluster.Limits limits;

  /**
   * Creates the settings.
   *
   * @param initial limits in force at the beginning
   * @param limits limits that the settings announce, none above the initial ones
   */
  ClusterSettings(
      SimCluster.Size size,
      SimCluster.Limits initial,
      SimCluster.Limits limits,
      SimCluster.Site site) {
    this.size = size;
    this.initial = initial;
    this.limits = limits;
    this.site = site;
  }

  /** The zones that contain machines. */
  List<String> zones() {
    return site.zones();
  }

  /** The operators' own settings. */
  Tuning tuning() {
    return site.tuning();
  }

  /** Makes controllers that start from now on read announced limits in their settings. */
  void announce(SimCluster.Limits announced) {
    limits = limits.lowerOf(announced);
  }

  /** The limits of the key-value store that new controllers read. */
  SimCluster.Limits limits() {
    return limits;
  }

  /** The teams with their guarantees and limits. */
  Map<String, Team> teams() {
    Map<String, Team> teams = new LinkedHashMap<>();
    long maxMilliCpus = (long) (size.teamCpus() * 1000);
    teams.put(
        "red",
        new Team(
            "red",
            FIRST_TEAM_GUARANTEE_MILLI_CPUS,
            maxMilliCpus,
            FIRST_TEAM_GUARANTEE_MILLI_ACCELERATORS,
            maxMilliCpus / CPUS_PER_ACCELERATOR));
    teams.put("blue", new Team("blue", FIRST_TEAM_GUARANTEE_MILLI_CPUS, maxMilliCpus / 2, 0, 0));
    return teams;
  }

  /** The current settings of one controller. */
  Settings forNode(String node) {
    return forNode(node, limits);
  }

  /** The settings of a controller that ignores announced limits. */
  Settings withInitialLimits(String node) {
    return forNode(node, initial);
  }

  private Settings forNode(String node, SimCluster.Limits storeLimits) {
    Map<String, Endpoint> peers = new LinkedHashMap<>();
    for (int i = 0; i < size.nodes(); i++) {
      if (!node.equals("node-" + i)) {
        peers.put("node-" + i, new Endpoint("10.0.0." + (i + 1), 8081));
      }
    }
    Endpoint unused = new Endpoint("10.0.0.9", 1);
    return new Settings(
        node,
        "east",
        unused,
        unused,
        peers,
        unused,
        unused,
        site.zones(),
        teams(),
        List.of(),
        new Settings.WorkerTimings(HEARTBEAT_S, LEASE_S, 30, 5, CANCEL_S),
        new Settings.StoreLimits(
            80, storeLimits.writeRps(), storeLimits.valueKb(), storeLimits.maxChangesPerSwap()),
        new Settings.CloudLimits(4, 10),
        1000,
        0.025);
  }
}
