package org.ternhinge.cli;

import java.util.Locale;
import java.util.Set;

/** Configures logging to standard error; must be called before any logger is created. */
final class Logging {
  private static final Set<String> LEVELS = Set.of("error", "warn", "info", "debug");

  private Logging() {}

  /** Prefixes each line with a timestamp. */
  static void showTimestamps() {
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true");
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "yyyy-MM-dd'T'HH:mm:ss.SSSXXX");
  }

  /** Sets the log level; {@code info} if the given level is null or unknown. */
  static void setLevel(String level) {
    String wanted = level == null ? "" : level.toLowerCase(Locale.ROOT);
    String chosen = LEVELS.contains(wanted) ? wanted : "info";
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", chosen);
    System.setProperty("org.slf4j.simpleLogger.log.io.netty", "warn");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
  }
}
