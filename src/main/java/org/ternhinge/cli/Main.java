package org.ternhinge.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.ternhinge.config.Settings;
import org.ternhinge.config.SettingsException;
import org.ternhinge.config.Tuning;
import org.ternhinge.wire.WireException;
import org.ternhinge.zone.report.ZoneLog;
import org.ternhinge.zone.report.ZoneReport;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Command line of the program: runs a controller, validates its settings, or writes a report. */
@Command(
    name = "ternhinge",
    mixinStandardHelpOptions = true,
    versionProvider = Main.Version.class,
    description = "Runs a controller of the cluster until it is killed.")
public final class Main implements Callable<Integer> {
  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_BAD_SETTINGS = 2;

  /** Reads the version that the build wrote into the jar. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Main.class.getPackage().getImplementationVersion();
      return new String[] {"ternhinge " + (version == null ? "(not packaged)" : version)};
    }
  }

  @Option(
      names = "--config",
      paramLabel = "FILE",
      description = "Settings file (JSON) provided by the platform.")
  private Path config;

  @Option(
      names = "--tuning",
      paramLabel = "FILE",
      description = "Tuning file (HCL) of the operators; defaults apply without it.")
  private Path tuning;

  private Main() {}

  /** Runs the command line and exits with its exit code if that is not 0. */
  public static void main(String[] args) {
    Logging.setLevel(System.getenv("LOG_LEVEL"));
    int code = new CommandLine(new Main()).execute(args);
    if (code != 0) {
      System.exit(code);
    }
  }

  @Override
  public Integer call() throws InterruptedException {
    Optional<Configuration> configuration = load(config, tuning);
    if (configuration.isEmpty()) {
      return EXIT_BAD_SETTINGS;
    }
    if (configuration.get().tuning.logTimes()) {
      Logging.showTimestamps();
    }
    Service.run(configuration.get().settings, configuration.get().tuning);
    return EXIT_OK;
  }

  @Command(name = "check", description = "Checks the settings and reports the first error.")
  int check(
      @Option(names = "--config", paramLabel = "FILE", required = true) Path settingsFile,
      @Option(names = "--tuning", paramLabel = "FILE") Path tuningFile) {
    if (load(settingsFile, tuningFile).isEmpty()) {
      return EXIT_BAD_SETTINGS;
    }
    System.out.println("settings are valid");
    return EXIT_OK;
  }

  @Command(
      name = "zone-report",
      description = "Writes a report on zone failures and recoveries from the service's log.")
  int zoneReport(
      @Parameters(
              paramLabel = "LOG",
              description = "Log file of one or more controllers, concatenated.")
          Path log,
      @Option(names = "--out", paramLabel = "FILE.html", required = true) Path out) {
    try {
      ZoneLog read = ZoneLog.read(log);
      ZoneReport.Result result = ZoneReport.write(read, out);
      if (read.malformed() > 0) {
        System.err.println("ternhinge: " + read.malformed() + " lines could not be read");
      }
      if (result == ZoneReport.Result.NO_EVENTS) {
        System.err.println("ternhinge: no zone events in " + log);
        return EXIT_FAILURE;
      }
      return EXIT_OK;
    } catch (IOException e) {
      System.err.println("ternhinge: " + e);
      return EXIT_FAILURE;
    }
  }

  @Command(
      name = "train-class-data",
      hidden = true,
      description = "Runs for two seconds on loopback; the build archives the loaded classes.")
  int trainClassData() throws IOException, InterruptedException, WireException {
    ClassDataTraining.run();
    // The service's non-daemon threads would keep the process alive.
    System.exit(EXIT_OK);
    return EXIT_OK;
  }

  private record Configuration(Settings settings, Tuning tuning) {}

  private static Tuning load(Path tuning, Settings settings) throws SettingsException {
    Tuning loaded = Tuning.load(tuning);
    try {
      loaded.check(settings);
    } catch (SettingsException e) {
      throw new SettingsException(tuning + ": " + e.getMessage());
    }
    return loaded;
  }

  /** Loads and validates both files; prints the error and returns empty if one is invalid. */
  private static Optional<Configuration> load(Path config, Path tuning) {
    try {
      if (config == null) {
        throw new SettingsException("--config FILE is needed");
      }
      Settings settings = Settings.load(config);
      Tuning loaded = tuning == null ? Tuning.DEFAULT : load(tuning, settings);
      return Optional.of(new Configuration(settings, loaded));
    } catch (SettingsException e) {
      System.err.println("ternhinge: " + e.getMessage());
      return Optional.empty();
    }
  }
}
