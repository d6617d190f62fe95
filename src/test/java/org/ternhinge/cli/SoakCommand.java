package org.ternhinge.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Stream;

/**
 * The command of the soak test: plays runs with consecutive seeds and reports each. Ends with 0 if
 * all passed, 1 if any failed, and 2 for bad options.
 */
public final class SoakCommand {
  private static final int MAX_SEEDS = 1000;
  private static final int MAX_WORKERS_PER_ZONE = 200;
  private static final int MAX_PARALLEL = 8;

  /** A bad option; the message names it. */
  static final class BadOption extends Exception {
    private static final long serialVersionUID = 1;

    BadOption(String message) {
      super(message);
    }
  }

  /**
   * The options of the command.
   *
   * @param parallel how many runs are played at the same time
   * @param out directory for logs and histories; those of runs that passed are deleted
   */
  record Options(int seeds, long firstSeed, int workersPerZone, int parallel, Path out) {
    static Options parse(String[] args) throws BadOption {
      Map<String, String> values = new TreeMap<>();
      values.put("--seeds", "50");
      values.put("--first-seed", "1");
      values.put("--workers", "6");
      values.put("--parallel", "4");
      values.put("--out", "target/soak");
      for (int i = 0; i < args.length; i += 2) {
        if (values.replace(args[i], i + 1 < args.length ? args[i + 1] : "") == null) {
          throw new BadOption("unknown option: " + args[i]);
        }
      }
      return new Options(
          (int) number(values, "--seeds", 1, MAX_SEEDS),
          number(values, "--first-seed", 0, Long.MAX_VALUE),
          (int) number(values, "--workers", 1, MAX_WORKERS_PER_ZONE),
          (int) number(values, "--parallel", 1, MAX_PARALLEL),
          Path.of(values.get("--out")));
    }

    private static long number(Map<String, String> values, String name, long min, long max)
        throws BadOption {
      String text = values.get(name);
      try {
        long value = Long.parseLong(text);
        if (value >= min && value <= max) {
          return value;
        }
      } catch (NumberFormatException e) {
        throw new BadOption(name + ": not a number: " + text);
      }
      throw new BadOption(name + ": not from " + min + " to " + max + ": " + text);
    }
  }

  private SoakCommand() {}

  /** Runs the command. */
  public static void main(String[] args) throws InterruptedException {
    System.exit(run(args, System.out, System.err));
  }

  /** Runs the command and returns its exit status. */
  static int run(String[] args, PrintStream out, PrintStream err) throws InterruptedException {
    try {
      Options options = Options.parse(args);
      List<SoakRun.Result> results = play(options, out);
      long failed = results.stream().filter(result -> !result.passed()).count();
      out.println((results.size() - failed) + " passed, " + failed + " failed");
      return failed == 0 ? 0 : 1;
    } catch (BadOption e) {
      err.println(e.getMessage());
      return 2;
    }
  }

  private static List<SoakRun.Result> play(Options options, PrintStream out)
      throws InterruptedException {
    ExecutorService runs = Executors.newFixedThreadPool(options.parallel());
    try {
      List<Future<SoakRun.Result>> futures = new ArrayList<>();
      for (int i = 0; i < options.seeds(); i++) {
        long seed = options.firstSeed() + i;
        futures.add(runs.submit(() -> play(options, seed, out)));
      }
      List<SoakRun.Result> results = new ArrayList<>();
      for (Future<SoakRun.Result> future : futures) {
        results.add(future.get());
      }
      return results;
    } catch (ExecutionException e) {
      throw new IllegalStateException(e);
    } finally {
      runs.shutdownNow();
    }
  }

  /** Plays one run; an exception is a failure of the run. */
  private static SoakRun.Result play(Options options, long seed, PrintStream out)
      throws InterruptedException {
    Path dir = options.out().resolve("seed-" + seed);
    SoakRun.Result result;
    try {
      result = new SoakRun(seed, options.workersPerZone(), dir).play();
    } catch (IOException | RuntimeException | AssertionError e) {
      result = new SoakRun.Result(seed, List.of("stand-in failed: " + e), 0, 0, 0, 0);
    }
    out.println(result);
    if (result.passed()) {
      delete(dir);
    } else {
      out.println(
          "  kept in "
              + dir
              + "; again: --first-seed "
              + seed
              + " --seeds 1 --workers "
              + options.workersPerZone());
    }
    return result;
  }

  private static void delete(Path dir) {
    try (Stream<Path> files = Files.list(dir)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
      Files.delete(dir);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
