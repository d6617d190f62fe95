package org.ternhinge.cli;

import java.io.IOException;
import java.net.http.HttpClient;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

/**
 * One soak run: three controller processes, workers, users and the external services on loopback,
 * with random faults from a seed. Everything is checked from outside.
 */
final class SoakRun {
  /**
   * What a run found.
   *
   * @param violations broken rules and failed processes; empty if none
   */
  record Result(
      long seed, List<String> violations, int starts, long answers, int jobs, double seconds) {
    boolean passed() {
      return violations.isEmpty();
    }

    @Override
    public String toString() {
      return String.format(
          "seed %d %s: %d jobs, %d starts, %d answers, %.0f s%s",
          seed,
          passed() ? "passed" : "FAILED",
          jobs,
          starts,
          answers,
          seconds,
          passed() ? "" : ", first of " + violations.size() + ": " + violations.get(0));
    }
  }

  private static final List<String> ZONES = List.of("east", "west");
  private static final double HEARTBEAT_S = 1;
  private static final double LEASE_S = 8;
  private static final double CANCEL_S = 18;
  private static final double RUN_S = 3;
  private static final double TEAM_CPUS = 24;
  private static final double TASK_CPUS = 2;

  /** Share of the direct messages that reach their worker twice. */
  private static final double DUPLICATE_SHARE = 0.3;

  /** PROTOCOL: how long a job may wait beside room once all faults are over. */
  private static final double MAX_WAIT_S = 90;

  private static final double TIMER_CHECK_S = 0.1;

  /** Above this, results say more about the machine than about the controllers. */
  private static final double MAX_TIMER_DELAY_S = 2;

  private static final int TIMER_THREADS = 24;

  private static final String TUNING =
      """
      idle_s = 86400
      grace_s = 4
      leadership_s = 3
      renew_s = 1
      """;

  private final long seed;
  private final int workersPerZone;
  private final Path dir;
  private final ScheduledExecutorService timers =
      Executors.newScheduledThreadPool(TIMER_THREADS, SoakRun::daemonThread);
  private final Set<Integer> endedByThemselves = new HashSet<>();
  private double faultsStartedAt;
  private final AtomicLong maxTimerDelayNanos = new AtomicLong();
  private final TaskHistory tasks = new TaskHistory();
  private final SoakHistory history = new SoakHistory(tasks, CANCEL_S);
  private final DuplicateCommands duplicates;

  /**
   * Creates a run.
   *
   * @param dir directory for settings, logs and the history
   */
  SoakRun(long seed, int workersPerZone, Path dir) {
    this.seed = seed;
    this.workersPerZone = workersPerZone;
    this.dir = dir;
    // A source of its own, so that a seed draws the same faults whatever is duplicated.
    SplittableRandom random = new SplittableRandom(~seed);
    this.duplicates = new DuplicateCommands(DUPLICATE_SHARE, LEASE_S, random, timers);
  }

  private static Thread daemonThread(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    return thread;
  }

  private static double now() {
    return System.nanoTime() / 1e9;
  }

  /** Plays the run to its end. */
  Result play() throws IOException, InterruptedException {
    double startedAt = now();
    Files.createDirectories(dir);
    Path tuning = dir.resolve("tuning.hcl");
    Files.writeString(tuning, TUNING);
    LoopbackCluster.Options options =
        new LoopbackCluster.Options(ZONES, HEARTBEAT_S, LEASE_S, CANCEL_S, TEAM_CPUS);
    List<String> arguments = List.of("--tuning", tuning.toString());
    try (LoopbackLinks links = new LoopbackLinks(LoopbackCluster.NODES);
        LoopbackCluster cluster =
            new LoopbackCluster(dir, options, arguments, Optional.of(links))) {
      cluster.startAll();
      List<Integer> ports = links.workerPorts(cluster.clientPorts());
      try (LoopbackFleet fleet = new LoopbackFleet(ZONES, workersPerZone, ports, workers())) {
        cluster.services().setFleet(fleet);
        measureTimerDelay();
        return play(cluster, links, fleet, startedAt);
      }
    } finally {
      timers.shutdownNow();
    }
  }

  private LoopbackWorker.Context workers() {
    return new LoopbackWorker.Context(
        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).executor(timers).build(),
        timers,
        tasks,
        List.of(),
        HEARTBEAT_S,
        LEASE_S,
        RUN_S,
        duplicates);
  }

  private Result play(
      LoopbackCluster cluster, LoopbackLinks links, LoopbackFleet fleet, double startedAt)
      throws IOException, InterruptedException {
    SplittableRandom random = new SplittableRandom(seed);
    SoakFaults faults = new SoakFaults(cluster, links, fleet, ZONES, timers, random.split());
    SoakUsers users = new SoakUsers(cluster.clientPorts(), history, RUN_S, timers, random.split());
    writeSchedule(faults);
    users.start();
    faultsStartedAt = now();
    double faultsEnd = faultsStartedAt + faults.start();
    watchUntil(faultsEnd, cluster, faults, () -> false);
    faults.end();
    users.stopSubmitting();
    double lastFaultAt = now();
    double end = lastFaultAt + MAX_WAIT_S + RUN_S;
    watchUntil(end, cluster, faults, history::allEnded);
    users.stop();
    addHarnessFailures(faults);
    int maxTasks = (int) (TEAM_CPUS / TASK_CPUS);
    List<String> violations = history.finish(lastFaultAt, now(), maxTasks);
    Result result =
        new Result(
            seed,
            violations,
            tasks.startsSince(0).size(),
            history.answers(),
            history.accepted().size(),
            now() - startedAt);
    Files.write(dir.resolve("violations.txt"), violations, StandardCharsets.UTF_8);
    return result;
  }

  /** Waits while processes are watched for ending by themselves. */
  private void watchUntil(
      double end, LoopbackCluster cluster, SoakFaults faults, BooleanSupplier condition)
      throws InterruptedException {
    while (now() < end && !condition.getAsBoolean()) {
      for (int i = 0; i < LoopbackCluster.NODES; i++) {
        if (!faults.isDown(i) && !cluster.isAlive(i) && endedByThemselves.add(i)) {
          history.recordViolation(
              String.format(
                  "controller ended by itself: node-%d with status %d after %.1f s",
                  i, cluster.exitStatus(i), now() - faultsStartedAt));
        }
      }
      Thread.sleep(100);
    }
  }

  private void addHarnessFailures(SoakFaults faults) {
    if (!faults.failure().isEmpty()) {
      history.recordViolation("stand-in failed: " + faults.failure());
    }
    double delayS = maxTimerDelayNanos.get() / 1e9;
    if (delayS > MAX_TIMER_DELAY_S) {
      history.recordViolation("stand-in failed: timers were late by " + delayS + " s");
    }
    if (tasks.startsSince(0).isEmpty() || history.answers() == 0) {
      history.recordViolation("stand-in failed: no task was started or nothing was answered");
    }
    if (duplicates.delivered() == 0) {
      history.recordViolation("stand-in failed: no direct message was duplicated");
    }
  }

  private void measureTimerDelay() {
    long due = System.nanoTime() + (long) (TIMER_CHECK_S * 1e9);
    var unused =
        timers.schedule(
            () -> {
              maxTimerDelayNanos.accumulateAndGet(System.nanoTime() - due, Math::max);
              measureTimerDelay();
            },
            (long) (TIMER_CHECK_S * 1e3),
            TimeUnit.MILLISECONDS);
  }

  private void writeSchedule(SoakFaults faults) throws IOException {
    List<String> lines = new ArrayList<>();
    faults.schedule().forEach(fault -> lines.add(fault.toString()));
    Files.write(dir.resolve("faults.txt"), lines, StandardCharsets.UTF_8);
  }
}
