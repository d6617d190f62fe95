package org.ternhinge.sim;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Team;
import org.ternhinge.config.Tuning;
import org.ternhinge.model.Endpoint;

/**
 * The settings with which simulated controllers start. They read the limits of the key-value store
 * at each start, so a change that is announced holds for controllers that start after it.
 */
final class ClusterSettings {
  /** Worker lease: how long tasks outlive the last answered heartbeat, in seconds. */
  static final double LEASE_S = 24;

  /** Interval of a worker's heartbeats, in seconds. */
  static final double HEARTBEAT_S = 3;

  /** Seconds within which a cancelled job's tasks have to end. */
  static final double CANCEL_S = 44;

  /** The zones in which controllers stand, and machines unless a site has more. */
  static final List<String> ZONES = List.of("east", "west");

  private static final int FIRST_TEAM_GUARANTEE_MILLI_CPUS = 8000;
  private static final int FIRST_TEAM_GUARANTEE_MILLI_ACCELERATORS = 2000;

  /** A team's limit of CPUs is so many times its limit of accelerators. */
  private static final int CPUS_TO_AN_ACCELERATOR = 6;

  private final SimCluster.Size size;
  private final SimCluster.Limits first;
  private final SimCluster.Site site;
  private SimCluster.Limits limits;

  /**
   * Creates the settings.
   *
   * @param first limits that hold at the beginning
   * @param limits limits that the settings name, no larger
   */
  ClusterSettings(
      SimCluster.Size size,
      SimCluster.Limits first,
      SimCluster.Limits limits,
      SimCluster.Site site) {
    this.size = size;
    this.first = first;
    this.limits = limits;
    this.site = site;
  }

  /** The zones in which machines stand. */
  List<String> zones() {
    return site.zones();
  }

  /** The operators' own settings. */
  Tuning tuning() {
    return site.tuning();
  }

  /** Controllers that start from now on have settings that name coming limits. */
  void announce(SimCluster.Limits coming) {
    limits = limits.lesser(coming);
  }

  /** The limits of the key-value store that the settings name. */
  SimCluster.Limits limits() {
    return limits;
  }

  /** The teams, with their guarantees and limits. */
  Map<String, Team> teams() {
    Map<String, Team> teams = new LinkedHashMap<>();
    long most = (long) (size.teamCpus() * 1000);
    teams.put(
        "red",
        new Team(
            "red",
            FIRST_TEAM_GUARANTEE_MILLI_CPUS,
            most,
            FIRST_TEAM_GUARANTEE_MILLI_ACCELERATORS,
            most / CPUS_TO_AN_ACCELERATOR));
    teams.put("blue", new Team("blue", FIRST_TEAM_GUARANTEE_MILLI_CPUS, most / 2, 0, 0));
    return teams;
  }

  /** The settings of one controller. */
  Settings of(String node) {
    return of(node, limits);
  }

  /** The settings of a controller that doesn't read which limits are to come. */
  Settings underFirstLimits(String node) {
    return of(node, first);
  }

  private Settings of(String node, SimCluster.Limits named) {
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
        new Settings.StoreLimits(80, named.writeRps(), named.valueKb(), named.maxChangesPerSwap()),
        new Settings.CloudLimits(4, 10),
        1000,
        0.025);
  }
}
