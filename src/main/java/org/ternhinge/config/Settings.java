package org.ternhinge.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.ternhinge.model.Endpoint;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;

/**
 * The settings file of the platform; unknown fields are ignored.
 *
 * @param node name of this node
 * @param zone zone in which this node runs
 * @param clientListen listen address for users and workers
 * @param peerListen listen address for the other nodes
 * @param peers peer addresses of the other nodes by name
 * @param cloud address of the cloud's API
 * @param state address of the key-value store
 * @param zones names of the zones of the deployment
 * @param teams teams by name
 * @param maxSockets maximum number of sockets of this process
 * @param clockErrorS maximum error of the wall clock, in seconds
 */
public record Settings(
    String node,
    String zone,
    Endpoint clientListen,
    Endpoint peerListen,
    Map<String, Endpoint> peers,
    Endpoint cloud,
    Endpoint state,
    List<String> zones,
    Map<String, Team> teams,
    List<Objective> objectives,
    WorkerTimings workers,
    StoreLimits storeLimits,
    CloudLimits cloudLimits,
    int maxSockets,
    double clockErrorS) {

  /** Upper bound of the relative drift between the monotonic clocks of two machines. */
  public static final double MAX_CLOCK_DRIFT = 0.001;

  /** Heartbeat interval, timeouts, and how long workers run tasks without a leader, in seconds. */
  public record WorkerTimings(
      double heartbeatIntervalS,
      double leaseS,
      double gangWaitS,
      double gangPeerS,
      double cancelS) {
    /**
     * Heartbeat intervals after which two heartbeats are certain to have been missed, despite
     * jitter.
     */
    private static final double OVERDUE_INTERVALS = 2.2;

    /** Time after its last heartbeat at which a worker counts as overdue, in seconds. */
    public double overdueS() {
      return heartbeatIntervalS * OVERDUE_INTERVALS;
    }
  }

  /** Limits of the key-value store that are valid both now and after any announced change. */
  public record StoreLimits(double rps, double writeRps, double valueKb, int maxChangesPerSwap) {
    private static final int BYTES_PER_KB = 1024;

    /** Returns the maximum size of a value, in bytes. */
    public int valueBytes() {
      return (int) (valueKb * BYTES_PER_KB);
    }
  }

  /** Request rate limit of the cloud's API and the maximum lag of its machine list. */
  public record CloudLimits(double rps, double listLagS) {}

  /** Reads the settings file of the platform. */
  public static Settings load(Path file) throws SettingsException {
    byte[] bytes;
    try {
      bytes = Files.readAllBytes(file);
    } catch (IOException e) {
      throw new SettingsException("can't read settings file " + file + ": " + e.getMessage());
    }
    JsonNode root;
    try {
      root = Json.parse(bytes);
    } catch (WireException e) {
      throw new SettingsException("settings file " + file + ": " + e.getMessage());
    }
    return read(root);
  }

  /** Reads and validates the settings; the error message names the invalid field. */
  public static Settings read(JsonNode root) throws SettingsException {
    return SettingsReader.read(root);
  }
}
